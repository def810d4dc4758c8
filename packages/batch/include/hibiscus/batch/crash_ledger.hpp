#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/batch/abandoned_sends.hpp"
#include "hibiscus/batch/records.hpp"
#include "hibiscus/batch/server_loss.hpp"
#include "hibiscus/samplers/sampler_table.hpp"
#include "hibiscus/samplers/server_end_log.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::batch {

/// Whether a request may be sent to a server.
enum class send_permission {
    allowed,
    /// Not before it is known which servers have ended, or before the losses
    /// are stored.
    waits,
    /// Not unless ends of other servers explain its losses: max_server_ends
    /// servers ended while they ran it.
    quarantined,
};

/// What is known of a server process whose connection broke off.
enum class server_verdict { ended, alive, unknown };

/// Judges a server process by its registration, `row`, which is null if there
/// is none, `lost_ms` after its connection broke off. `renewal_ms` is the
/// interval at which registrations are renewed.
server_verdict judge_by_registration(const samplers::sampler_row* row,
                                     const server_process& process,
                                     base::millis lost_ms,
                                     base::millis renewal_ms);

/// What the ends of other servers say of the losses of a request.
struct chance_evidence {
    /// Number of servers that ended without the request.
    int other_ends = 0;
    /// How many times as likely the losses are if the request ends its servers.
    double ratio = std::numeric_limits<double>::infinity();
};

/// What is known of a request with losses.
struct loss_summary {
    int losses = 0;
    int cleared_losses = 0;
    /// How many of them a request explains that ends its servers at one point.
    int agreeing_losses = 0;
    /// How many of `losses` were noticed only after the send had been given up,
    /// and how many came before any event of the run.
    int late_losses = 0;
    int losses_without_events = 0;
    chance_evidence chance;
};

/// How far a run may go before it is stopped.
struct run_limit {
    int events = 0;
    base::millis ms = 0;
};

/// Counts, for each request, the server processes that ended while they ran it,
/// and quarantines a request that keeps ending servers. A request counts under
/// its own id: over all jobs, and with the stored records over all owners.
///
/// A connection that broke off is a loss until it is known whether its server
/// has ended. A request is sent while it has few losses, whatever their cause;
/// with max_server_ends losses, cleared ones included, it waits until they are
/// checked.
///
/// A send whose sender closed the connection is a loss if the server process
/// ends before it has outlived the send. A request with so many sends of that
/// kind that it could have max_server_ends losses waits until they are settled.
///
/// Servers also end for other reasons than what they run. Three things speak
/// for a request:
/// - A request that ends its servers fails at the same point each time: of its
///   text, or so many events or so long after the start of a run. No run goes
///   past that point. So a loss that an earlier or a later run has gone past
///   does not agree with it. A request is sent on while fewer than
///   max_server_ends losses agree with one point and it has no more than
///   max_server_ends losses in all.
/// - A later run that has gone past a loss in all three clears it. A request
///   whose losses are all cleared is sent on.
/// - Chance explains the losses if servers of the service end often enough
///   without the request, in the time of its runs or at the same moments. Then
///   it is sent on until max_ends_by_chance servers have ended.
///
/// If the losses agree with a point after the start of a run, but the text has
/// gone on, the request is sent on in runs that stop well before that point.
class crash_ledger {
public:
    /// Number of server processes that may end under a request before its text
    /// goes on.
    static constexpr int max_server_ends = 3;

    /// Number of server processes that may end under a request, whatever the
    /// cause, cleared losses included.
    static constexpr int max_ends_by_chance = 10;

    /// Number of losses of a request that don't count if they are cleared, or
    /// if they don't agree with the others. The losses of a request whose
    /// servers end at a random time of its runs do so, too.
    static constexpr int max_uncounted_losses = 1;

    /// A run has gone past a loss if it has lasted longer than the lost one by
    /// this part, in time and in events.
    static constexpr int clearing_divisor = 4;

    /// A limited run is stopped after this part of the events and the time of
    /// the shortest lost run.
    static constexpr int limit_divisor = 2;

    /// A limited run has to get so many events at least.
    static constexpr int min_limited_events = 2;

    /// Number of events by which a run has to go past the point of a loss to
    /// clear it. With more than max_server_ends losses, as many again for each
    /// further one.
    static constexpr int clearing_events = 4;
    static constexpr int required_events(int losses) {
        return clearing_events * std::max(1, losses - max_server_ends + 1);
    }

    /// `retention_ms` is the time after its last loss for which a request is
    /// remembered.
    /// `ends` has the ends of servers that their registrations show, if given.
    crash_ledger(base::clock clock, base::millis retention_ms,
                 const samplers::server_end_log* ends = nullptr)
        : clock_(std::move(clock)), retention_ms_(retention_ms), ends_(ends),
          abandoned_(clock_) {}

    send_permission permission(const request_key& request) const;

    /// Returns how far the next run of a request may go, or nothing if it has
    /// no limit.
    std::optional<run_limit> limit_of(const request_key& request) const;

    /// Returns a number that grows with what is known of the ends of servers.
    std::uint64_t evidence_number() const { return process_changes_; }

    /// Returns the number of losses of a request, and of its sends that were
    /// announced by on_sending() and have not ended.
    int loss_count(const request_key& request) const;

    /// Returns the number of losses and announced sends that decide whether a
    /// request is quarantined: loss_count(), and the cleared losses beyond
    /// max_uncounted_losses.
    int counted_losses(const request_key& request) const;

    /// Returns what is known of a request, for logs.
    loss_summary summarize(const request_key& request) const;

    /// Returns true if the next send of a request has to be stored before it is
    /// made. A new owner must not miss the last server that may end.
    bool needs_stored_send(const request_key& request) const {
        return is_last_send(counted_losses(request));
    }

    /// Returns true if a request with so many losses is quarantined after one
    /// more.
    static bool is_last_send(int loss_count) {
        return loss_count >= max_server_ends - 1;
    }

    /// Called before a request is sent whose send must be stored first.
    void on_sending(const request_key& request, const server_process& process);

    /// Returns true if the store holds all losses and announced sends of a
    /// request.
    bool is_stored(const request_key& request) const;

    /// Called when a server that had the request may have ended. Returns false
    /// if this is no loss of the request: the server had fallen silent before
    /// the request was sent.
    bool on_lost(const request_key& request, const server_loss& lost);

    /// Called when the sender has closed the connection of a request that the
    /// server may still run, or that it may have ended under unnoticed. If
    /// `last_seen.is_unseen` is set, the end of the server counts only if
    /// something has come from it since.
    void on_abandoned(const request_key& request, const server_loss& last_seen);

    /// Returns true if a send of a request was no loss, since its server had
    /// fallen silent before. The next one should not be to a silent server.
    bool has_doubtful_send(const request_key& request) const {
        return doubtful_sends_.count(request) != 0;
    }

    /// Looks which servers have outlived the sends that were abandoned there,
    /// and which have registered again after they were taken for ended. Called
    /// often.
    void read_registrations(const samplers::sampler_table& servers);

    /// An abandoned send that turned out to be a loss.
    struct late_loss {
        request_key request;
        server_process process;
        /// Time since the send was abandoned, in ms.
        base::millis age_ms = 0;
        /// Number of losses of the request that count, this one included.
        int loss_count = 0;
    };

    /// Returns those that were found since the last call, for logs.
    std::vector<late_loss> take_late_losses() {
        return std::exchange(late_losses_, {});
    }

    /// Called when a run has received an event. Returns the number of losses
    /// that this clears.
    int on_progress(const request_key& request, const run_progress& progress);

    /// Called when a send ended otherwise.
    void on_survived(const request_key& request, const server_process& process);

    /// Called when a request needs no further send.
    void on_finished(const request_key& request);

    /// Called when a server process is known to have ended.
    void on_ended(const server_process& process);

    /// Returns true if a server process counts as ended.
    bool is_taken_for_ended(const server_process& process) const;

    /// Called when a server process has responded to a call that began at
    /// `asked_at`. If it had been taken for ended before, it has not ended, and
    /// its losses are removed.
    void on_responded(const server_process& process, base::millis asked_at);

    /// Called when a server process turned out to have outlived all that
    /// happened up to `time`. Its losses until then were broken connections
    /// only, and so are later ones unless it fell silent.
    void on_alive(const server_process& process, base::millis time);
    void on_alive(const server_process& process) {
        on_alive(process, clock_.now());
    }

    /// A server process and when its loss was noticed.
    struct lost_process {
        server_process process;
        base::millis lost_at = 0;
    };

    /// Returns the server processes that may have ended, each with its first
    /// loss.
    std::vector<lost_process> lost_processes() const;

    /// Returns the server processes to check: those of requests that wait for
    /// it and, as these are compared with them, those that were lost at about
    /// the same time; those of cleared losses that are not known to have ended;
    /// and those that were taken for ended and have registered again. Each is
    /// returned once in `check_interval_ms`.
    std::vector<lost_process> take_due_checks();

    /// What has to be stored of a request.
    struct unsaved_row {
        request_key request;
        std::uint64_t change = 0;
        /// The value is empty if the request is to be forgotten.
        store::record record;
    };

    /// Returns what is not stored, at most `max_count` rows, first the requests
    /// that wait for it.
    std::vector<unsaved_row> unsaved_rows(std::size_t max_count) const;

    /// Returns true if a request waits until its row is stored.
    bool has_urgent_rows() const;

    /// Called when the store has these rows.
    void on_saved(const std::vector<unsaved_row>& rows);

    /// Adds the rows that former owners have stored.
    void restore(const std::map<std::string, loss_record>& stored);

    /// Forgets the requests and servers whose last loss is long ago. Called now
    /// and then.
    void forget_expired();

    void clear();

    /// Returns the number of requests with losses.
    std::size_t size() const { return rows_.size(); }

    /// Returns true if no request has losses or abandoned sends.
    bool is_empty() const { return rows_.empty() && abandoned_.empty(); }

    /// Interval between two checks of a server process, in ms.
    static constexpr base::millis check_interval_ms = 250;

private:
    enum class loss_state {
        sending,   ///< Announced; the send has not ended.
        suspected, ///< The connection broke off.
        ended,     ///< The process is known to have ended.
    };

    struct loss {
        server_process process;
        loss_state state = loss_state::suspected;
        base::millis sent_at = 0;
        /// When the loss was noticed.
        base::millis lost_at = 0;
        /// How far the run had come. Not known of a send that a former owner
        /// has announced.
        run_progress progress;
        bool is_progress_known = true;
        /// Whether the send had been abandoned before the server ended.
        bool is_late = false;
        /// Whether the server fell silent and no connection broke off.
        bool is_silent = false;
    };

    /// A server process whose connections broke off while it had requests, or
    /// whose end its next registration has shown.
    struct process_row {
        samplers::service_name service;
        int server_count = 0;
        base::millis lost_at = 0;
        bool ended = false;
        /// Whether a request has noticed the end, so that the time is exact.
        bool is_noticed = false;
        /// When the process was taken for ended.
        base::millis ended_at = 0;
        /// When the process last registered after that; 0 if it has not.
        base::millis registered_again_at = 0;
        /// Whether it has not been checked since it last registered.
        bool is_check_due = false;
        /// When a connection last broke off there, if one did.
        std::optional<base::millis> broke_at = {};
    };

    /// Ends of servers without a request.
    struct other_ends {
        std::vector<base::millis> times;
        /// Those of them that are exact.
        std::vector<base::millis> noticed_times;
        /// The time of the last one, or of the last loss if that is later.
        base::millis known_until = 0;
    };

    /// From the first lost run of a request to its last loss, and a while more.
    struct time_span {
        base::millis begin = 0;
        base::millis end = 0;

        bool contains(base::millis time) const {
            return begin <= time && time <= end;
        }
    };

    /// A loss that a later run has gone past.
    struct cleared_loss {
        server_process process;
        /// Whether the process is known to have ended.
        bool ended = false;
        /// As for loss.
        base::millis lost_at = 0;
        bool is_silent = false;
    };

    using check_times = std::map<server_process, base::millis>;

    struct request_row {
        std::vector<loss> losses;
        std::vector<cleared_loss> cleared;
        /// The farthest that any run has come: in the text, and in the events
        /// and the time since its start.
        run_progress farthest;
        /// Whether a server has outlived a limited run since the last loss, so
        /// that these end no servers.
        bool is_limit_confirmed = false;
        base::millis changed_at = 0;
        /// Numbers of the last change and of the last one in the store; 0 if
        /// the store has none.
        std::uint64_t change = 0;
        std::uint64_t stored_change = 0;

        bool is_empty() const { return losses.empty() && cleared.empty(); }
        int cleared_losses() const { return static_cast<int>(cleared.size()); }
        void clear() {
            losses.clear();
            cleared.clear();
            farthest = {};
        }
    };

    static int count(const request_row& row, loss_state state);
    static int count_losses(const request_row& row);
    template <class Predicate>
    static int count_losses(const request_row& row, Predicate predicate);
    static int cleared_losses_that_count(const request_row& row);
    enum class loss_filter { ended, ended_or_suspected };
    /// How many losses of a request agree with one point at which it may end
    /// its servers.
    struct agreement {
        int in_text = 0;
        int in_events = 0;
        int in_time = 0;
        /// Number of all losses, cleared ones included.
        int losses = 0;

        int most() const { return std::max({in_text, in_events, in_time}); }
    };
    static bool agrees_in_text(const request_row& row, const loss& l);
    static bool agrees_in_events(const request_row& row, const loss& l);
    static bool agrees_in_time(const request_row& row, const loss& l);
    static agreement find_agreement(const request_row& row, loss_filter filter);
    static int losses_against(const request_row& row, loss_filter filter);
    static std::optional<run_limit> safe_limit(const request_row& row);
    static void note_progress(request_row& row, const run_progress& progress);
    static bool is_outlived(const loss& l, const run_progress& progress,
                            int required_events);
    static bool has_loss(const request_row& row, const server_process& process);
    static time_span span_of(const request_row& row);
    send_permission permission(const request_row& row) const;
    loss_summary summarize(const request_row& row) const;
    bool has_unsettled_sends(const request_key& request) const;
    base::millis answerable_ms(const request_key& request,
                               base::millis sent_at) const;
    bool had_broken_off(const server_process& process, base::millis time) const;
    bool has_loss_of(const request_key& request, const server_process& process,
                     base::millis sent_at) const;
    void settle_abandoned(const samplers::sampler_table& servers);
    void find_registered_again(const samplers::sampler_table& servers);
    void set_ended(process_row& row);
    template <class Predicate>
    void erase_losses(const server_process& process, Predicate is_none);
    void add_checks_of_cleared(const check_times& checked_before,
                               std::vector<lost_process>& due);
    void count_abandoned(const server_process& process);
    void on_sign_of_life(const server_process& process, base::millis time);
    void add_checks_of_abandoned(
        const std::map<server_process, base::millis>& checked_before,
        std::vector<lost_process>& due);
    template <class Predicate>
    std::set<server_process>
    find_lost_by_others(const request_row& row, Predicate has_part,
                        const std::function<bool(const loss&)>& counts) const;
    other_ends find_other_ends(const request_row& row,
                               const samplers::service_name& service,
                               const std::set<server_process>& except) const;
    chance_evidence
    compare_with_chance(const request_row& row,
                        const std::set<server_process>& blamed) const;
    chance_evidence compare_with_chance(const request_row& row) const;
    static base::millis agreeing_part(base::millis run_ms);
    static double max_ratio(const request_row& row);
    bool has_clean_end(const request_row& row,
                       const std::set<server_process>& doubtful) const;
    bool is_chance(const request_row& row) const;
    bool is_suspect_being_sent(const request_row& row) const;
    bool may_become_chance(const request_row& row) const;
    static bool is_stuck(const request_row& row);
    bool needs_checks(const request_row& row) const;
    void add_registered_ends();
    bool add_due_check(const server_process& process, base::millis lost_at,
                       const check_times& checked_before,
                       std::vector<lost_process>& due);
    static bool is_urgent(const request_row& row);
    base::millis sent_at(const server_loss& lost) const;
    static bool is_same_loss(const loss& known, const loss& lost);
    bool had_fallen_silent(const server_loss& lost) const;
    void set_loss(const request_key& request, const server_loss& lost,
                  loss_state state);
    void mark_changed(request_row& row);
    loss_record make_record(const request_key& request,
                            const request_row& row) const;

    base::clock clock_;
    base::millis retention_ms_;
    const samplers::server_end_log* ends_;
    /// Number of registered ends that processes_ has.
    std::uint64_t registered_ends_ = 0;
    /// Number of changes of processes_.
    std::uint64_t process_changes_ = 0;
    std::map<request_key, request_row> rows_;
    std::map<server_process, process_row> processes_;
    check_times checked_at_;
    std::uint64_t last_change_ = 0;
    abandoned_sends abandoned_;
    /// Requests for which on_lost() has returned false.
    std::set<request_key> doubtful_sends_;
    std::vector<late_loss> late_losses_;
};

} // namespace hibiscus::batch

namespace hibiscus::base {

template <>
struct enum_names<batch::server_verdict> {
    static constexpr std::array<enum_name<batch::server_verdict>, 3> table{{
        {batch::server_verdict::ended, "ended"},
        {batch::server_verdict::alive, "alive"},
        {batch::server_verdict::unknown, "unknown"},
    }};
};

} // namespace hibiscus::base
