#pragma once

#include "hibiscus/base/stall_detector.hpp"
#include "hibiscus/batch/job_table.hpp"
#include "hibiscus/batch/token_estimator.hpp"
#include "hibiscus/samplers/run_placement.hpp"

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
struct job_options {
    samplers::service_name service;
    /// After so many failed answers an item is given up.
    int max_attempts = 1;
    bool single_version = false;
    base::millis target_ms = 0;
    base::millis item_expiry_ms = 0;
};

/// Send an item to a server.
struct start_run {
    run_number run = 0;
    samplers::sampler_id sampler;
    job_id job;
    int item_index = 0;
    std::string host;
    std::string model;
    const item* content = nullptr;
    /// Go on behind this event; empty for a start.
    std::string resume_after_event;
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
    int item_index = 0;
    const reward_call* call = nullptr;
};

using effect = std::variant<start_run, stop_run, start_reward>;
using effects = std::vector<effect>;

/// How a server answered a run.
enum class run_outcome {
    complete,     ///< The stream came to its end.
    cut,          ///< The connection ended before, or was silent.
    not_run,      ///< The server said that it did not run the item.
    other_server, ///< Another server has the address, or other weights.
    failed,       ///< The run failed there; it counts as an attempt.
    impossible,   ///< The item can never be done.
};

/// What a reward call came to.
struct reward_score {
    std::string score;
};
struct reward_failure {
    /// How many servers answered that the call failed there, and after how
    /// many such answers to an item's calls it may be given up.
    int failed_responses = 0;
    int max_failed_responses = 1;
};
using reward_outcome = std::variant<reward_score, reward_failure>;

/// A result that is ready to be listed.
struct ready_result {
    job_id job;
    int item_index = 0;
    item_result result;
};

/// A part of a text to be saved, and what to call once it is.
struct unsaved_part {
    job_id job;
    progress_part part;
};

/// The life of an item, in ms since its job was first seen; -1 stands for
/// what has not come.
struct item_timeline {
    int item_index = 0;
    base::millis first_start_ms = -1;
    base::millis text_complete_ms = -1;
    base::millis ready_ms = -1;
    int run_count = 0;
    int event_count = 0;
    std::int64_t expected_output_tokens = 0;
};

/// The items that wait for the same places, and what keeps them from these.
struct waiting_group {
    std::string model;
    weight_version min_version = 0;
    int item_count = 0;
    /// How long no server has worked on one of them at most, in ms.
    base::millis longest_wait_ms = 0;
    samplers::server_counts servers;
};

/// Counts for the log and the metrics.
struct scheduler_counts {
    std::uint64_t runs = 0;
    std::uint64_t moved_runs = 0;
    std::uint64_t silent_runs = 0;
    /// Items that came again, those of them whose text could be used, and
    /// the events of the texts that could not.
    std::uint64_t resubmitted_items = 0;
    std::uint64_t reused_texts = 0;
    std::uint64_t discarded_events = 0;
    /// Items begun ahead of the job that will carry them.
    std::uint64_t speculative_items = 0;
};

/// Runs the items of the jobs of one owner: which are waiting, running, being
/// judged or ready. It sees neither sockets nor the store; what it wants done
/// comes out as effects.
class item_scheduler {
public:
    /// How often tick() is to be called, in ms.
    static constexpr base::millis tick_ms = 25;

    item_scheduler(base::clock clock, samplers::sampler_table& table);

    /// Takes up a job, or what is left of it. `progress` holds the saved
    /// parts of texts by item; `epoch` is that of the parts to come, higher
    /// than all before.
    effects add_job(const job_row& row, std::vector<item> items,
                    const std::map<int, std::vector<progress_part>>& progress,
                    const job_options& terms, std::int64_t epoch);

    /// A trainer named a version of a model's weights.
    void announce_version(const std::string& model, weight_version version);

    /// Returns true if the job has been taken up.
    bool has_job(const job_id& id) const { return jobs_.count(id) != 0; }

    /// Returns the service that runs a job, which must have been taken up.
    const samplers::service_name& job_service(const job_id& id) const {
        return jobs_.at(id).options.service;
    }

    /// Runs of a job that begin from now on go to another service.
    void set_job_service(const job_id& id,
                         const samplers::service_name& service) {
        jobs_.at(id).options.service = service;
    }

    /// Stops all of a job, which has ended. Texts are kept for a later job
    /// that carries the same items; those of its unfinished items that will
    /// be too old for it are begun anew under the newest weights.
    effects remove_job(const job_id& id);

    /// Stops everything, since another process is the owner.
    effects remove_all_jobs();

    /// Items of a job stand in the ledger, whoever listed them.
    effects on_committed(const job_id& id, const std::set<int>& numbers);

    /// Places what is waiting and moves what goes badly, if `may_start`: what
    /// left its server then would have no other to go on at.
    effects tick(bool may_start);

    /// Places what is waiting, if `may_start`; less than tick() does.
    effects place_waiting(bool may_start);

    /// A server began to answer with the given weights.
    effects on_response_started(run_number run, weight_version version);
    /// An event came. `version` is set if the weights changed at it.
    effects on_event(run_number run, const std::string& id,
                     const std::string& data,
                     std::optional<weight_version> version);
    effects on_run_ended(run_number run, run_outcome end);
    effects on_reward_ended(const job_id& id, int number,
                            const reward_outcome& outcome);

    /// Returns the results that are ready, at most `bytes` of text, but those
    /// of the jobs in `except`.
    std::vector<ready_result>
    ready_results(std::size_t bytes, const std::set<job_id>& except = {}) const;

    /// Returns what has come since the last save, for runs with at least
    /// `least` new events.
    std::vector<unsaved_part> unsaved_parts(int least, std::size_t bytes) const;

    /// The part has been stored.
    void on_part_saved(const unsaved_part& part);

    /// Returns the lives of a job's items, the one that took longest first.
    std::vector<item_timeline> item_timelines(const job_id& id) const;

    /// Returns how many free places the steps of each model need, so that the
    /// next ones find a place for each item at once.
    std::map<std::string, int> update_wanted_slots();

    /// Returns what waits for a place, by what it needs.
    std::vector<waiting_group> waiting_groups() const;

    int waiting_count() const;
    int running_count() const { return static_cast<int>(runs_.size()); }
    const scheduler_counts& counts() const { return counts_; }

private:
    enum class item_state {
        waiting,
        running,
        reward_pending,
        reward_in_flight,
        ready,
        committed
    };

    struct generated_text {
        std::string bytes;
        int event_count = 0;
        std::string last_event;
        std::vector<weight_version> versions;
    };

    struct item_row {
        item content;
        item_state state = item_state::waiting;
        generated_text output;
        std::int64_t epoch = 0;
        int saved_events = 0;
        std::size_t saved_bytes = 0;
        int failures = 0;
        /// Where its runs failed, and until when it goes elsewhere.
        std::set<samplers::sampler_id> failed_servers;
        base::millis avoid_failed_servers_until = 0;
        int reward_failures = 0;
        base::millis not_before = 0;
        /// When a server last worked on it, or it was taken up.
        base::millis last_served_at = 0;
        std::string score;
        item_timeline timeline;
        /// It was an item of an earlier job, which ended without it; the
        /// trainer waits for it whatever else is complete.
        bool is_resubmitted = false;
        item_outcome outcome = item_outcome::succeeded;
    };

    struct job_state {
        job_header header;
        job_options options;
        base::millis first_seen_at = 0;
        std::vector<item_row> items;
        /// Set for what is begun ahead of a later job: when it is given up.
        std::optional<base::millis> speculative_until;
    };

    struct run_row {
        job_id job;
        int item_index = 0;
        samplers::sampler_id sampler;
        base::millis started_at = 0;
        /// When its server was last heard, later by the time in which the
        /// owner's thread was held up since.
        base::millis last_heard_at = 0;
        weight_version version = 0;
        int event_count = 0;
        /// What it counts for in its server's memory.
        std::int64_t reserved_tokens = 0;
    };

    struct cached_text {
        generated_text output;
        bool complete = false;
        base::millis cached_at = 0;
    };

    void commit_item(const job_id& id, job_state& job, int number,
                     effects& out);
    item_row* find_item(const run_row& run);
    void discount_stall();
    void place_items(effects& out);
    void move_runs(effects& out);
    bool is_silent(const run_row& run, samplers::run_placement& places) const;
    void move_silent_runs(effects& out);
    void move_slow_runs(effects& out);
    void move_long_runs(effects& out);
    bool is_worth_moving(const run_row& run);
    int priority_of(const item_row& row) const;
    std::optional<samplers::sampler_id>
    choose_server(samplers::run_placement& places,
                  const samplers::run_requirements& needs,
                  const item_row& row) const;
    void move_run(run_number run, const char* reason, effects& out);
    samplers::run_requirements needs_of(const job_state& job,
                                        const item_row& row) const;
    void cancel_run(run_number run, const char* reason, effects& out);
    void requeue(item_row& row, base::millis pause);
    void finish_text(const job_id& id, int number, effects& out);
    void discard_output(item_row& row);
    void cache_texts(const job_state& job);
    static std::set<std::string> incomplete_groups(const job_state& job);
    void add_speculative_job(const job_state& job);
    effects remove_speculative_jobs(const std::string& model);
    effects remove_expired_speculative_jobs();
    void cancel_runs(const job_id& id, const char* reason, effects& out);
    void reuse_cached_text(job_state& job, item_row& row);

    base::clock clock_;
    samplers::sampler_table& table_;
    std::map<job_id, job_state> jobs_;
    std::map<run_number, run_row> runs_;
    std::map<item_id, cached_text> cached_texts_;
    std::map<std::string, weight_version> newest_versions_;
    /// The most items that were open at a time, lately, by model.
    struct open_items_peak {
        int item_count = 0;
        base::millis seen_at = 0;
    };
    std::map<std::string, open_items_peak> open_items_peaks_;
    token_estimator token_estimator_;
    run_number last_run_number_ = 0;
    /// When long runs may go on to faster servers again.
    base::millis next_long_move_at_ = 0;
    base::stall_detector stall_detector_;
    scheduler_counts counts_;
};

} // namespace hibiscus::batch

namespace hibiscus::base {

template <>
struct enum_names<batch::run_outcome> {
    static constexpr std::array<enum_name<batch::run_outcome>, 6> table{{
        {batch::run_outcome::complete, "complete"},
        {batch::run_outcome::cut, "cut"},
        {batch::run_outcome::not_run, "not_run"},
        {batch::run_outcome::other_server, "other_server"},
        {batch::run_outcome::failed, "failed"},
        {batch::run_outcome::impossible, "impossible"},
    }};
};

} // namespace hibiscus::base
