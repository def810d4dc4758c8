#pragma once

#include "hibiscus/base/own_delay.hpp"
#include "hibiscus/batch/ledger.hpp"
#include "hibiscus/batch/text_size.hpp"
#include "hibiscus/samplers/run_places.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hibiscus::batch {

/// Numbers a run: one send of an item to one server.
using run_number = std::uint64_t;

/// What the route of a job says of its items.
struct job_terms {
    samplers::service_name service;
    /// After so many failed answers an item is given up.
    int attempts = 1;
    bool single_version = false;
    base::millis due_ms = 0;
    base::millis keep_ms = 0;
};

/// Send an item to a server.
struct start_run {
    run_number run = 0;
    samplers::sampler_id sampler;
    job_id job;
    int number = 0;
    std::string host;
    std::string model;
    const item* content = nullptr;
    /// Go on behind this event; empty for a start.
    std::string last_event;
    int priority = 0;
    base::millis deadline_ms = 0;
};

/// Close the connection of a run.
struct stop_run {
    run_number run = 0;
    const char* reason = "";
};

/// Have a complete text judged.
struct start_reward {
    job_id job;
    int number = 0;
    const reward_call* call = nullptr;
};

using effect = std::variant<start_run, stop_run, start_reward>;
using effects = std::vector<effect>;

/// How a server answered a run.
enum class run_end {
    complete,     ///< The stream came to its end.
    cut,          ///< The connection ended before, or was silent.
    not_run,      ///< The server said that it did not run the item.
    other_server, ///< Another server has the address, or other weights.
    failed,       ///< The run failed there; it counts as an attempt.
    impossible,   ///< The item can never be done.
};

/// What a reward call came to.
struct rewarded {
    std::string score;
};
struct reward_failed {
    /// How many servers answered that the call failed there, and after how
    /// many such answers to an item's calls it may be given up.
    int failures = 0;
    int allowed = 1;
};
using reward_outcome = std::variant<rewarded, reward_failed>;

/// A result that is ready to be listed.
struct ready_result {
    job_id job;
    int number = 0;
    item_result result;
};

/// A part of a text to be saved, and what to call once it is.
struct unsaved_part {
    job_id job;
    progress_part part;
};

/// The life of an item, in ms since its job was first seen; -1 stands for
/// what has not come.
struct item_life {
    int number = 0;
    base::millis first_start = -1;
    base::millis text_complete = -1;
    base::millis ready = -1;
    int runs = 0;
    int events = 0;
    std::int64_t expected_tokens = 0;
};

/// The items that wait for the same places, and what keeps them from these.
struct waiting_items {
    std::string model;
    weight_version least_version = 0;
    int items = 0;
    /// How long no server has worked on one of them at most, in ms.
    base::millis longest_ms = 0;
    samplers::server_counts servers;
};

/// Counts for the log and the metrics.
struct work_counts {
    std::uint64_t runs = 0;
    std::uint64_t moved = 0;
    std::uint64_t silent = 0;
    /// Items that came again, those of them whose text could be used, and
    /// the events of the texts that could not.
    std::uint64_t carried = 0;
    std::uint64_t reused_texts = 0;
    std::uint64_t void_events = 0;
    /// Items begun ahead of the job that will carry them.
    std::uint64_t ahead = 0;
};

/// Runs the items of the jobs of one owner: which are waiting, running, being
/// judged or ready. It sees neither sockets nor the store; what it wants done
/// comes out as effects.
class work {
public:
    /// How often tick() is to be called, in ms.
    static constexpr base::millis tick_ms = 25;

    work(base::clock clock, samplers::sampler_table& table);

    /// Takes up a job, or what is left of it. `progress` holds the saved
    /// parts of texts by item; `epoch` is that of the parts to come, higher
    /// than all before.
    effects adopt(const job_row& row, std::vector<item> items,
                  const std::map<int, std::vector<progress_part>>& progress,
                  const job_terms& terms, std::int64_t epoch);

    /// A trainer named a version of a model's weights.
    void version_named(const std::string& model, weight_version version);

    /// Returns true if the job has been taken up.
    bool has(const job_id& id) const { return jobs_.count(id) != 0; }

    /// Returns the service that runs a job, which must have been taken up.
    const samplers::service_name& service_of(const job_id& id) const {
        return jobs_.at(id).terms.service;
    }

    /// Runs of a job that begin from now on go to another service.
    void move_to(const job_id& id, const samplers::service_name& service) {
        jobs_.at(id).terms.service = service;
    }

    /// Stops all of a job, which has ended. Texts are kept for a later job
    /// that carries the same items; those of its unfinished items that will
    /// be too old for it are begun anew under the newest weights.
    effects drop(const job_id& id);

    /// Stops everything, since another process is the owner.
    effects drop_all();

    /// Items of a job stand in the ledger, whoever listed them.
    effects listed(const job_id& id, const std::set<int>& numbers);

    /// Places what is waiting and moves what goes badly, if `may_start`: what
    /// left its server then would have no other to go on at.
    effects tick(bool may_start);

    /// Places what is waiting, if `may_start`; less than tick() does.
    effects place_waiting(bool may_start);

    /// A server began to answer with the given weights.
    effects head(run_number run, weight_version version);
    /// An event came. `version` is set if the weights changed at it.
    effects event(run_number run, const std::string& id,
                  const std::string& data,
                  std::optional<weight_version> version);
    effects ended(run_number run, run_end end);
    effects reward_ended(const job_id& id, int number,
                         const reward_outcome& outcome);

    /// Returns the results that are ready, at most `bytes` of text, but those
    /// of the jobs in `except`.
    std::vector<ready_result> ready(std::size_t bytes,
                                    const std::set<job_id>& except = {}) const;

    /// Returns what has come since the last save, for runs with at least
    /// `least` new events.
    std::vector<unsaved_part> unsaved(int least, std::size_t bytes) const;

    /// The part has been stored.
    void saved(const unsaved_part& part);

    /// Returns the lives of a job's items, the one that took longest first.
    std::vector<item_life> lives(const job_id& id) const;

    /// Returns how many free places the steps of each model need, so that the
    /// next ones find a place for each item at once.
    std::map<std::string, int> places_wanted();

    /// Returns what waits for a place, by what it needs.
    std::vector<waiting_items> waits() const;

    int waiting() const;
    int running() const { return static_cast<int>(runs_.size()); }
    const work_counts& counts() const { return counts_; }

private:
    enum class state { waiting, running, judge_due, judged, ready, done };

    struct text {
        std::string bytes;
        int events = 0;
        std::string last_event;
        std::vector<weight_version> versions;
    };

    struct item_row {
        item content;
        state at = state::waiting;
        text got;
        std::int64_t epoch = 0;
        int saved_events = 0;
        std::size_t saved_bytes = 0;
        int failures = 0;
        /// Where its runs failed, and until when it goes elsewhere.
        std::set<samplers::sampler_id> failed_at;
        base::millis avoid_failed_until = 0;
        int reward_failures = 0;
        base::millis not_before = 0;
        /// When a server last worked on it, or it was taken up.
        base::millis served_at = 0;
        std::string score;
        item_life life;
        /// It was an item of an earlier job, which ended without it; the
        /// trainer waits for it whatever else is complete.
        bool carried = false;
        item_outcome outcome = item_outcome::succeeded;
    };

    struct job_state {
        job_header header;
        job_terms terms;
        base::millis seen_at = 0;
        std::vector<item_row> items;
        /// Set for what is begun ahead of a later job: when it is given up.
        std::optional<base::millis> ahead_until;
    };

    struct run_row {
        job_id job;
        int number = 0;
        samplers::sampler_id sampler;
        base::millis started_at = 0;
        /// When its server was last heard, later by the time in which the
        /// owner's thread was held up since.
        base::millis heard_at = 0;
        weight_version version = 0;
        int events = 0;
        /// What it counts for in its server's memory.
        std::int64_t tokens = 0;
    };

    struct old_text {
        text got;
        bool complete = false;
        base::millis kept_at = 0;
    };

    void list_one(const job_id& id, job_state& job, int number, effects& out);
    item_row* row_of(const run_row& run);
    void leave_out_own_delay();
    void place(effects& out);
    void move(effects& out);
    bool is_silent(const run_row& run, samplers::run_places& places) const;
    void move_silent(effects& out);
    void move_slow(effects& out);
    void move_long(effects& out);
    bool is_worth_moving(const run_row& run);
    int priority_of(const item_row& row) const;
    std::optional<samplers::sampler_id>
    place_for(samplers::run_places& places, const samplers::run_needs& needs,
              const item_row& row) const;
    void move_one(run_number run, const char* reason, effects& out);
    samplers::run_needs needs_of(const job_state& job,
                                 const item_row& row) const;
    void stop(run_number run, const char* reason, effects& out);
    void requeue(item_row& row, base::millis pause);
    void finish_text(const job_id& id, int number, effects& out);
    void restart(item_row& row);
    void keep_texts(const job_state& job);
    static std::set<std::string> open_groups(const job_state& job);
    void begin_ahead(const job_state& job);
    effects drop_ahead(const std::string& model);
    effects drop_overdue();
    void stop_runs(const job_id& id, const char* reason, effects& out);
    void reuse(job_state& job, item_row& row);

    base::clock clock_;
    samplers::sampler_table& table_;
    std::map<job_id, job_state> jobs_;
    std::map<run_number, run_row> runs_;
    std::map<item_id, old_text> old_texts_;
    std::map<std::string, weight_version> newest_;
    /// The most items that were open at a time, lately, by model.
    struct open_peak {
        int items = 0;
        base::millis seen_at = 0;
    };
    std::map<std::string, open_peak> open_peaks_;
    text_size size_;
    run_number last_run_ = 0;
    /// When long runs may go on to faster servers again.
    base::millis next_wander_ = 0;
    base::own_delay delay_;
    work_counts counts_;
};

} // namespace hibiscus::batch

namespace hibiscus::base {

template <>
struct enum_names<batch::run_end> {
    static constexpr std::array<enum_name<batch::run_end>, 6> table{{
        {batch::run_end::complete, "complete"},
        {batch::run_end::cut, "cut"},
        {batch::run_end::not_run, "not_run"},
        {batch::run_end::other_server, "other_server"},
        {batch::run_end::failed, "failed"},
        {batch::run_end::impossible, "impossible"},
    }};
};

} // namespace hibiscus::base
