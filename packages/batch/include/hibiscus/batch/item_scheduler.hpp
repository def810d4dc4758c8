#pragma once

#include "hibiscus/base/stall_detector.hpp"
#include "hibiscus/batch/crash_ledger.hpp"
#include "hibiscus/batch/effects.hpp"
#include "hibiscus/batch/held_item.hpp"
#include "hibiscus/batch/job_table.hpp"
#include "hibiscus/batch/run_pace.hpp"
#include "hibiscus/batch/step_plan.hpp"
#include "hibiscus/batch/token_estimator.hpp"
#include "hibiscus/batch/work_meter.hpp"
#include "hibiscus/samplers/run_placement.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hibiscus::batch {

/// Settings from the route of a job that apply to its items.
struct job_options {
    samplers::service_name service;
    /// Number of failed runs after which an item ends as errored.
    int max_attempts = 1;
    bool single_version = false;
    base::millis target_ms = 0;
    base::millis item_expiry_ms = 0;
    /// Priority of the workspace or the route; 0 is the most urgent.
    int priority = 0;
};

/// How a run ended.
enum class run_outcome {
    complete,     ///< The stream ended normally.
    cut,          ///< The connection broke off after the item was sent.
    unusable,     ///< No connection could be opened, or the response had an
                  ///< unexpected status.
    not_sent,     ///< The item was not sent; says nothing about the server.
    no_sign,      ///< The item was not sent, as the server failed its check.
    not_run,      ///< The server rejected the item without running it.
    other_server, ///< The address belongs to another server or other weights.
    replaced,     ///< The same, after an idle connection had ended.
    failed,       ///< The server failed the run; counts as an attempt.
    impossible,   ///< No server can ever run the item.
};

/// The outcome of a reward call.
struct reward_score {
    std::string score;
};
struct reward_failure {
    /// Number of failed responses to this call, which may have been sent to
    /// several servers.
    int failed_responses = 0;
    /// Number of failed responses, over all calls for an item, after which the
    /// item ends as errored.
    int max_failed_responses;
    /// Delay before the call is repeated, in ms.
    base::millis retry_delay_ms = 0;
};
/// The call was not sent to any server. Says nothing about earlier calls.
struct reward_not_sent {
    /// Delay before the call is repeated, in ms.
    base::millis retry_delay_ms = 0;
};
using reward_outcome =
    std::variant<reward_score, reward_failure, reward_not_sent>;

/// A result that is ready to be committed.
struct ready_result {
    job_id job;
    int item_index = 0;
    item_result result;
};

/// A part of a text that is not saved yet. Passed to on_part_saved() once the
/// store has it.
struct unsaved_part {
    job_id job;
    progress_part part;
};

/// Timeline of an item, in ms since its job was first seen. -1 stands for an
/// event that has not happened.
struct item_timeline {
    int item_index = 0;
    base::millis first_start_ms = -1;
    base::millis text_complete_ms = -1;
    /// Set when the reward call ends. Stays -1 for an item without a reward
    /// call, and for one that fails or expires before.
    base::millis ready_ms = -1;
    int run_count = 0;
    int event_count = 0;
    std::int64_t expected_output_tokens = 0;
};

/// Items that wait for a slot with the same requirements, and the reasons why
/// servers can't run them.
struct waiting_group {
    std::string model;
    weight_version min_version = 0;
    int item_count = 0;
    /// The longest time, in ms, for which no server has run one of these items.
    base::millis longest_wait_ms = 0;
    samplers::server_counts servers;
};

/// Counts for the log and the metrics.
struct scheduler_counts {
    std::uint64_t runs = 0;
    std::uint64_t moved_runs = 0;
    std::uint64_t silent_runs = 0;
    /// Items that a later job resubmitted and that had a cached text.
    std::uint64_t resubmitted_items = 0;
    /// How many of these cached texts were reused.
    std::uint64_t reused_texts = 0;
    /// Number of events in the cached texts that were not reused.
    std::uint64_t discarded_events = 0;
    /// Items started speculatively before a job resubmits them.
    std::uint64_t speculative_items = 0;
};

/// Decides which item of which job runs on which server. Tracks the state of
/// each item of the jobs that this instance owns: waiting, running, being
/// scored or ready. It does no I/O: it returns the required actions as effects,
/// which the caller executes.
class item_scheduler {
public:
    /// The interval at which tick() must be called, in ms.
    static constexpr base::millis tick_ms = 25;

    item_scheduler(base::clock clock, samplers::sampler_table& table,
                   crash_ledger& crashes);

    /// Adds a job, after a takeover with its saved progress. `items` holds all
    /// items of the job, also the committed ones. `progress` holds the saved
    /// parts of texts by item index. `epoch` is the epoch of the parts saved
    /// from now on and must be higher than all earlier ones of the job.
    effects add_job(const job_row& row, std::vector<item> items,
                    const std::map<int, std::vector<progress_part>>& progress,
                    const job_options& options, std::int64_t epoch);

    /// Called when a trainer announces a version of a model's weights.
    void announce_version(const std::string& model, weight_version version);

    /// Returns true if the job has been added and not removed since.
    bool has_job(const job_id& id) const { return jobs_.count(id) != 0; }

    /// Returns the service that runs a job. The job must have been added.
    const samplers::service_name& job_service(const job_id& id) const {
        return jobs_.at(id).options.service;
    }

    /// Sends the future runs of a job to another service.
    void set_job_service(const job_id& id,
                         const samplers::service_name& service) {
        jobs_.at(id).options.service = service;
    }

    /// Removes a job that has ended and stops its runs. Caches the texts of its
    /// incomplete groups, since a later job may resubmit their items. If the
    /// feature run_ahead is on, long texts of these groups that began under
    /// older weights than the newest are restarted speculatively.
    effects remove_job(const job_id& id);

    /// Removes all jobs and stops all runs. Called when another process became
    /// the job owner.
    effects remove_all_jobs();

    /// Called when the journal holds the results of these items, whichever
    /// owner committed them.
    effects on_committed(const job_id& id, const std::set<int>& item_indices);

    /// If `may_start_runs`, places waiting items and moves runs away from
    /// silent, slow or draining servers and to faster ones. If not, no run is
    /// moved, since it could not be started elsewhere. Always expires waiting
    /// items, repeats reward calls and removes expired speculative jobs.
    effects tick(bool may_start_runs);

    /// Places waiting items if `may_start_runs`. Cheaper than tick().
    effects place_waiting(bool may_start_runs);

    /// Called when a run that had to be stored, or whose server had to be
    /// checked, is sent.
    void on_run_sent(run_number run);

    /// Called when a server starts its response, with the weight version it
    /// reports.
    effects on_response_started(run_number run, weight_version version);
    /// Called for each event of a run. `version` is set if the weights changed
    /// with this event.
    effects on_event(run_number run, const std::string& id,
                     const std::string& data,
                     std::optional<weight_version> version);
    effects on_run_ended(run_number run, run_outcome outcome);
    effects on_reward_ended(const job_id& id, int item_index,
                            const reward_outcome& outcome);
    /// Called when a server that had the reward call may have ended, before the
    /// call ends.
    effects on_reward_server_lost(const job_id& id, int item_index,
                                  const server_loss& lost);
    /// Called when a reward call, or an attempt of it, was given up while a
    /// server had it that may end under it.
    void on_reward_abandoned(const job_id& id, int item_index,
                             const server_loss& last_seen);

    /// Returns true if a reward call in flight may be sent to another server.
    bool may_repeat_reward(const job_id& id, int item_index) const;

    /// Sets the time until a new reward call of a job would be answered, in ms,
    /// for the jobs whose calls are queued. Items of these jobs that would be
    /// scored too late don't begin.
    void set_scoring_delays(std::map<job_id, base::millis> delays) {
        scoring_delays_ = std::move(delays);
    }

    /// Returns the number of items that wait because they would be scored too
    /// late.
    int withheld_count() const;

    /// Returns results that are ready to be committed, except those of the jobs
    /// in `excluded_jobs`. Stops after `max_bytes` of text; the last result may
    /// exceed it.
    std::vector<ready_result>
    ready_results(std::size_t max_bytes,
                  const std::set<job_id>& excluded_jobs = {}) const;

    /// Returns the unsaved parts of texts with at least `min_events` new
    /// events. Of finished texts only those that have waited long for their
    /// scores, unless `min_events` is 1. Stops after `max_bytes` of text; the
    /// last part may exceed it.
    std::vector<unsaved_part> unsaved_parts(int min_events,
                                            std::size_t max_bytes) const;

    /// Called when the store has saved the part.
    void on_part_saved(const unsaved_part& part);

    /// Returns the timelines of a job's items, the slowest item first.
    std::vector<item_timeline> item_timelines(const job_id& id) const;

    /// Returns, for each model with a job, how many free slots are needed so
    /// that each item of the next steps can start at once.
    std::map<std::string, int> update_wanted_slots();

    /// Returns the items that wait for a slot, grouped by their requirements.
    std::vector<waiting_group> waiting_groups() const;

    /// Returns unfinished items that have been at no server for `min_held_ms`
    /// or longer, the longest first, at most `max_count`, and why.
    std::vector<held_item> held_items(base::millis min_held_ms,
                                      bool may_start_runs,
                                      std::size_t max_count) const;

    /// Returns the slots that the trainers of a service need, or nothing if
    /// that has not been measured. `load_ms` is the duration of a load of
    /// weights.
    std::optional<slot_demand> demand(const samplers::service_name& service,
                                      base::millis load_ms) const {
        return work_meter_.demand(service, load_ms, clock_.now());
    }
    /// Returns the shortages of servers for the open jobs.
    std::vector<step_shortage> shortages() const {
        return planner_.shortages();
    }
    /// Returns how many shortages have begun.
    std::uint64_t shortage_count() const { return planner_.shortage_count(); }

    int waiting_count() const;
    /// Counts only the items of jobs that use the service.
    int waiting_count(const samplers::service_name& service) const;
    int running_count() const { return static_cast<int>(runs_.size()); }
    const scheduler_counts& counts() const { return counts_; }

private:
    enum class item_state {
        waiting,
        running,
        reward_pending,
        reward_in_flight,
        /// Not sent any more, since servers ended under it or its reward call.
        quarantined,
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
        /// The servers at which its runs failed, and the time until which other
        /// servers are preferred.
        std::set<samplers::sampler_id> failed_servers;
        base::millis avoid_failed_servers_until = 0;
        int reward_failures = 0;
        /// Set once it was unclear whether a server had ended before or after
        /// the item was sent to it.
        bool needs_new_connection = false;
        /// The state to which a quarantined item returns.
        item_state state_before = item_state::waiting;
        /// Number of runs that reached their limit before any event came, since
        /// the last one with an event.
        int fruitless_runs = 0;
        /// Number of servers that failed their checks since one last had the
        /// item.
        int failed_checks = 0;
        base::millis not_before = 0;
        /// When a server last worked on the item; initially when its job was
        /// added.
        base::millis last_served_at = 0;
        std::string score;
        item_timeline timeline;
        /// True if an earlier job ended without this item. The trainer needs it
        /// whatever other items are complete.
        bool is_resubmitted = false;
        item_outcome outcome = item_outcome::succeeded;
    };

    struct job_state {
        job_header header;
        job_options options;
        base::millis first_seen_at = 0;
        std::vector<item_row> items;
        /// Set for a job of speculative items: when it expires.
        std::optional<base::millis> speculative_until;
        /// The index of each item's group; empty until the job is planned.
        std::vector<int> group_indices;
    };

    struct run_row {
        job_id job;
        int item_index = 0;
        samplers::sampler_id sampler;
        base::millis started_at = 0;
        base::millis sent_at = 0;
        /// When the server last sent something, plus the time for which the
        /// owner's own thread stalled since then.
        base::millis last_activity_at = 0;
        weight_version version = 0;
        int event_count = 0;
        /// Tokens reserved for the run in its server's memory.
        std::int64_t reserved_tokens = 0;
        /// Start time of the server in ms since the Unix epoch.
        base::millis server_started_ms = 0;
        /// Number of losses of the item that count, this run not included.
        int loss_count = 0;
        /// Whether the server has begun to respond.
        bool has_response = false;
        /// Whether the item has been sent, and how far the run may go.
        bool is_sent = true;
        std::optional<run_limit> limit = {};
        /// For how long nothing had come from the server before, in ms.
        base::millis quiet_ms = 0;
        /// Whether the server had fallen silent before the item was sent.
        bool was_silent = false;
    };

    /// The servers by the runs that they have, while any item has losses.
    struct server_occupancy {
        std::map<samplers::sampler_id, int> run_counts;
        /// Servers with an item that has losses.
        std::set<samplers::sampler_id> suspects;
        /// Servers that may have ended: nothing has come from them since a
        /// request was lost there.
        std::set<samplers::sampler_id> doubtful;
        /// Servers that are kept for one item whose next loss may be its last.
        std::set<samplers::sampler_id> isolated;

        void add(const samplers::sampler_id& server, int loss_count);
    };

    struct cached_text {
        generated_text output;
        bool complete = false;
        base::millis cached_at = 0;
    };

    static trainer_key trainer_of(const job_state& job);
    void measure_step(const job_state& job);
    void measure_text(const run_row& run);
    static int waiting_count(const job_state& job);
    void commit_item(const job_id& id, job_state& job, int item_index,
                     effects& out);
    item_row* find_item(const run_row& run);
    void discount_stall();
    void note_failed_check(const samplers::sampler_id& server);
    void forget_heard_servers();
    void place_items(effects& out);
    void update_plan();
    void update_paces(base::millis now);
    open_job describe_job(const job_id& id, job_state& job) const;
    void add_to_group(open_group& group, const job_state& job,
                      const item_row& row) const;
    double expected_run_ms(const job_state& job, const item_row& row) const;
    group_rank rank_of(const job_id& id, const job_state& job,
                       std::size_t item_index) const;
    void update_run_slots();
    void move_runs(effects& out);
    bool is_silent(const run_row& run,
                   samplers::run_placement& placement) const;
    void add_silent_loss(run_row& run, const item_row& row, effects& out);
    void move_silent_runs(effects& out);
    void move_slow_runs(effects& out);
    void move_long_runs(effects& out);
    bool is_worth_moving(const run_row& run);
    int priority_of(const job_state& job, const item_row& row) const;
    std::optional<samplers::sampler_id>
    choose_server(samplers::run_placement& placement,
                  const samplers::run_requirements& requirements,
                  const item_row& row, const server_occupancy& occupancy,
                  int loss_count) const;
    std::optional<samplers::sampler_id>
    choose_isolated_server(samplers::run_placement& placement,
                           const samplers::run_requirements& requirements,
                           const item_row& row, bool is_limited,
                           server_occupancy& occupancy) const;
    void keep_emptiest_server(const samplers::run_requirements& requirements,
                              server_occupancy& occupancy) const;
    std::optional<samplers::sampler_id>
    choose_among(samplers::run_placement& placement,
                 const samplers::run_requirements& requirements,
                 const item_row& row,
                 const std::set<samplers::sampler_id>& except) const;
    server_occupancy find_occupancy() const;
    bool may_send(const job_state& job, const item_row& row) const;
    hold_reason find_hold_reason(const job_state& job, const item_row& row,
                                 bool may_start_runs,
                                 samplers::run_placement& placement) const;
    bool is_last_send(const job_state& job, const item_row& row) const;
    static request_key request_of(const job_state& job, const item_row& row);
    static request_key reward_of(const job_state& job, const item_row& row);
    static server_process process_of(const run_row& run);
    server_loss loss_of(const run_row& run, const item_row& row) const;
    bool is_unseen(const run_row& run) const;
    run_progress progress_of(const run_row& run, const item_row& row) const;
    void clear_losses(run_row& run, const job_state& job, const item_row& row,
                      effects& out);
    void abandon_run(const run_row& run);
    bool add_loss(const job_id& id, int item_index, bool is_reward,
                  const server_loss& lost, effects& out);
    void quarantine(const job_id& id, int item_index, bool is_reward,
                    effects& out);
    suspected_request describe(const job_id& id, int item_index,
                               bool is_reward) const;
    void release_if_excused(const job_id& id, int item_index, effects& out);
    std::optional<run_limit> limit_of(const job_state& job,
                                      const item_row& row) const;
    bool has_fruitless_runs(const job_state& job, const item_row& row) const;
    bool has_reached_limit(const run_row& run) const;
    void stop_limited_run(run_number run, effects& out);
    void stop_limited_runs(effects& out);
    bool has_expired(const job_state& job) const;
    void update_state(const job_id& id, int item_index, effects& out);
    void settle_waiting(const job_id& id, int item_index, effects& out);
    void settle_pending_reward(const job_id& id, int item_index, effects& out);
    bool has_to_wait_for_reward(const job_state& job,
                                const item_row& row) const;
    void count_reward_failure(const job_state& job, item_row& row,
                              const reward_failure& failure);
    void repeat_reward(item_row& row, base::millis delay_ms);
    void move_run(run_number run, const char* reason, effects& out);
    samplers::run_requirements requirements_of(const job_state& job,
                                               const item_row& row) const;
    void cancel_run(run_number run, const char* reason, effects& out);
    void requeue(item_row& row, base::millis delay);
    void request_reward_or_finish(const job_id& id, int item_index,
                                  effects& out);
    start_reward make_reward(const job_state& job, int item_index) const;
    bool is_score_too_late(const job_state& job, const item_row& row) const;
    bool is_unscored_text_due(const job_state& job, const item_row& row,
                              int min_events) const;
    void discard_output(item_row& row);
    static bool has_too_many_events(const item_row& row);
    void cache_texts(const job_state& job);
    static std::set<std::string> incomplete_groups(const job_state& job);
    void add_speculative_job(const job_state& job);
    effects remove_speculative_jobs(const std::string& model);
    effects remove_expired_speculative_jobs();
    void cancel_runs(const job_id& id, const char* reason, effects& out);
    static bool are_usable(const std::vector<weight_version>& versions,
                           const job_state& job);
    void reuse_cached_text(job_state& job, item_row& row);

    base::clock clock_;
    samplers::sampler_table& table_;
    crash_ledger& crashes_;
    std::map<job_id, job_state> jobs_;
    std::map<run_number, run_row> runs_;
    /// By workspace and item; texts are not shared between workspaces.
    std::map<std::pair<std::string, item_id>, cached_text> cached_texts_;
    std::map<std::string, weight_version> newest_versions_;
    /// The highest number of waiting and running items of a model or a service
    /// since the peak was last reset. It is reset once it is a minute old.
    struct open_items_peak {
        int item_count = 0;
        base::millis seen_at = 0;
    };
    std::map<std::string, open_items_peak> open_items_peaks_;
    std::map<samplers::service_name, open_items_peak> open_items_of_services_;
    token_estimator token_estimator_;
    work_meter work_meter_;
    std::map<job_id, base::millis> scoring_delays_;
    step_planner planner_;
    std::map<samplers::service_name, run_pace> paces_;
    base::millis planned_at_ = 0;
    run_number last_run_number_ = 0;
    /// What was known of the ends of servers at the last tick.
    std::uint64_t evidence_number_ = 0;
    bool has_new_evidence_ = false;
    /// Servers that failed their checks; those that are not silent any more are
    /// removed with the next tick.
    std::set<samplers::sampler_id> unchecked_servers_;
    /// The earliest time of the next move of long runs to faster servers.
    base::millis next_long_move_at_ = 0;
    base::stall_detector stall_detector_;
    scheduler_counts counts_;
};

} // namespace hibiscus::batch

namespace hibiscus::base {

template <>
struct enum_names<batch::run_outcome> {
    static constexpr std::array<enum_name<batch::run_outcome>, 10> table{{
        {batch::run_outcome::complete, "complete"},
        {batch::run_outcome::cut, "cut"},
        {batch::run_outcome::unusable, "unusable"},
        {batch::run_outcome::not_sent, "not_sent"},
        {batch::run_outcome::no_sign, "no_sign"},
        {batch::run_outcome::not_run, "not_run"},
        {batch::run_outcome::other_server, "other_server"},
        {batch::run_outcome::replaced, "replaced"},
        {batch::run_outcome::failed, "failed"},
        {batch::run_outcome::impossible, "impossible"},
    }};
};

} // namespace hibiscus::base
