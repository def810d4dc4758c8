#pragma once

#include "forwarder.hpp"
#include "job_store.hpp"
#include "node_state.hpp"
#include "result_committer.hpp"
#include "reward_caller.hpp"

#include "hibiscus/base/suspend_aware_age.hpp"
#include "hibiscus/batch/crash_ledger.hpp"
#include "hibiscus/batch/handover.hpp"
#include "hibiscus/batch/item_scheduler.hpp"
#include "hibiscus/batch/owner_lease.hpp"
#include "hibiscus/samplers/weight_rollout.hpp"
#include "hibiscus/store/partition_watcher.hpp"
#include "hibiscus/store/store_router.hpp"
#include "hibiscus/telemetry/failure_streak.hpp"
#include "hibiscus/transport/event_stream.hpp"
#include "platform/sampler_calls.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace hibiscus::entry {

/// Runs batch jobs and orders servers to load weights while this node holds the
/// owner lease. The lease is a record in the journal that the owner renews.
/// Appends to the journal fail if it holds records that this node has not read,
/// so that at most one of two concurrent owners succeeds.
class job_owner {
public:
    job_owner(node_state& state, const store::log_store& log_store,
              const store::store_router& router,
              store::partition_watcher& journal, const job_store& stored_jobs,
              transport::upstream_client& client, forwarder& request_forwarder,
              store::run_after_function run_after);

    /// Starts the periodic tick, which claims the lease when it is free.
    void start();

    /// Called when the store becomes reachable or unreachable.
    void set_store_reachable(bool reachable);

    /// Called after the rows of `jobs`, or the owner record, have changed in
    /// the job table.
    void on_jobs_changed(const std::set<batch::job_id>& jobs);

    /// Called when a trainer has published `version` of `model`.
    void on_version_published(const std::string& model, std::int64_t version);

    /// Saves the partial texts of active runs, releases the lease so that
    /// another node can claim it, and stops the runs. Calls `done` within a
    /// bounded time.
    void start_handover(std::function<void()> done);

    bool is_owner() const;

    /// Returns the token for the calls of the owner. Returns nothing if this
    /// node is not the owner, is handing over, or can't show that it has read
    /// the journal lately.
    std::optional<std::uint64_t> fencing_token() const;

    /// Returns the number of items that wait for a server of the service.
    int waiting_items(const samplers::service_name& service) const {
        return scheduler_.waiting_count(service);
    }

    /// Returns the slots that the trainers of the service need, or nothing if
    /// that has not been measured.
    std::optional<batch::slot_demand>
    slot_demand(const samplers::service_name& service) const {
        return scheduler_.demand(service, rollout_.expected_load_ms());
    }

    /// Appends records to the journal on the condition that this node is still
    /// the owner. Calls `done` with whether they were stored. Returns false if
    /// the append can't be made now.
    bool append_as_owner(std::vector<store::record> records,
                         std::function<void(bool)> done);

private:
    /// A run whose crash ledger row is not stored yet, or whose server has not
    /// passed its check.
    struct delayed_run {
        batch::start_run run;
        batch::request_key request;
        batch::server_process process;
        bool is_server_checked = true;
    };
    struct active_run {
        std::shared_ptr<transport::upstream_call> call;
        transport::event_stream_parser parser;
        int status = 0;
        bool not_run = false;
        bool misdirected = false;
        /// Whether the server failed its check.
        bool has_failed_check = false;
        samplers::sampler_id server;
        /// When the server started, in ms since the Unix epoch.
        base::millis server_started_ms = 0;
        batch::job_id job;
        int item_index = 0;
        batch::item_id request_id;
        int event_count = 0;
        base::millis started_at = 0;
    };

    /// The response of a server. The status is 0 if there was none.
    struct server_response {
        int status = 0;
        bool refused = false;
        std::string body;
        transport::call_outcome outcome = transport::call_outcome::not_sent;
    };

    void claim_lease();
    store::record make_owner_record(store::log_offset fencing_token,
                                    bool handed_over);
    void append_to_journal(const std::vector<store::record>& records,
                           std::function<void(bool)> done);
    void log_append_failure(const store::append_result& result,
                            std::size_t record_count, base::millis ms);
    void on_owner_changed(bool is_owner_now);
    void log_slow_items(const batch::job_id& id, const batch::job_row& row);
    void load_job(const batch::job_id& id);
    void add_loaded_job(const batch::job_id& id, std::vector<batch::item> items,
                        const job_store::progress_by_item& progress);
    void tick();
    void load_open_jobs();
    void update_job_services();
    void update_job_service(const batch::job_id& id,
                            const batch::job_header& header);
    void apply_effects(const batch::effects& effects);
    void start_run(const batch::start_run& r);
    void send_run(const batch::start_run& r);
    void send_delayed_runs();
    void check_server(const batch::server_process& process);
    bool is_other_process(const batch::server_process& process,
                          const server_response& response) const;
    void on_server_checked(const batch::server_process& process,
                           const server_response& response);
    void give_up_delayed_run(const delayed_run& delayed, bool is_misdirected);
    void log_stopped_run(const active_run& active, const char* reason);
    void log_suspected(const char* event,
                       const batch::suspected_request& request);
    void log_cleared_losses(const batch::report_cleared_losses& report);
    void log_loss(const batch::report_loss& report);
    void log_late_loss(const batch::crash_ledger::late_loss& loss);
    void note_ended_server(const active_run& active);
    void check_lost_servers();
    void check_lost_server(const batch::crash_ledger::lost_process& check);
    void settle_check(const batch::crash_ledger::lost_process& check,
                      batch::server_verdict verdict, const char* evidence,
                      base::millis alive_until);
    void request_start_time(const batch::crash_ledger::lost_process& check);
    void on_start_time(const batch::crash_ledger::lost_process& check,
                       base::millis asked_at, const server_response& response);
    void store_losses_if_due();
    void append_losses();
    void on_run_ended(batch::run_number run_id,
                      transport::call_outcome outcome);
    void schedule_placement();
    batch::run_outcome classify_run_end(const active_run& active,
                                        transport::call_outcome outcome) const;
    void renew_if_overdue();
    void commit_results();
    result_committer::journal_access make_journal_access();
    void save_progress_if_due();
    void save_progress(int min_events, std::function<void()> done);
    void report_waiting_items();
    void report_shortages();
    void log_shortage(const batch::step_shortage& shortage, const char* state);
    void log_waiting_items(const batch::waiting_group& group);
    void log_held_items();
    void log_unloaded_jobs();
    void log_handover();
    void advance_handover();
    void finish_handover();
    std::vector<store::record> make_release_records();
    void erase_next_expired_job();
    void on_erase_finished(const batch::job_id& id, bool erased);
    void erase_progress(const batch::job_id& id);
    void order_weight_loads();
    void request_server_status(
        const samplers::sampler_id& id,
        std::function<void(const std::optional<adapter::server_report>&)> done);
    void on_load_done(const samplers::sampler_id& id,
                      const adapter::server_report& report);
    void
    on_status_before_order(const samplers::load_order& order,
                           const std::optional<adapter::server_report>& report);
    void send_load_order(const samplers::load_order& order,
                         std::int64_t after_orders);
    void call_server(const samplers::sampler_id& id,
                     transport::upstream_request request,
                     std::function<void(const server_response&)> done,
                     base::millis max_silence_ms = 0);
    bool is_journal_current() const;
    bool may_start_items() const;
    std::optional<batch::job_options>
    find_job_options(const batch::job_header& header);

    node_state& state_;
    const store::log_store& log_store_;
    const store::store_router& store_router_;
    store::partition_watcher& journal_;
    const job_store& job_store_;
    transport::upstream_client& client_;
    store::run_after_function run_after_;
    batch::crash_ledger crashes_;
    batch::item_scheduler scheduler_;
    reward_caller reward_caller_;
    samplers::weight_rollout rollout_;
    std::string incarnation_;
    batch::owner_lease lease_;
    std::set<batch::job_id> loading_jobs_;
    std::map<batch::run_number, active_run> active_runs_;
    std::vector<delayed_run> delayed_runs_;
    /// The server processes that are being checked for delayed runs.
    std::set<batch::server_process> server_checks_;
    base::millis last_loss_append_at_ = 0;
    std::int64_t renewals_ = 0;
    base::node_id previous_owner_;
    /// Keys of the progress records that this owner has saved, by open job.
    std::map<batch::job_id, std::vector<std::string>> progress_keys_;
    bool erasing_job_ = false;
    base::millis next_erase_at_ = 0;
    /// Number of progress saves whose appends have not completed.
    int saves_in_flight_ = 0;
    bool appending_ = false;
    result_committer committer_;
    /// True while a placement of waiting items is scheduled.
    bool placement_scheduled_ = false;
    bool renew_due_ = false;
    base::millis last_overdue_renewal_at_ = 0;
    bool was_owner_ = false;
    batch::handover handover_;
    std::function<void()> on_handed_over_;
    base::millis orders_allowed_at_ = 0;
    base::millis last_commit_at_ = 0;
    base::millis last_progress_save_at_ = 0;
    base::millis last_wait_report_at_ = 0;
    /// The shortages in the log, by service, as last reported.
    std::map<samplers::service_name, batch::step_shortage> reported_shortages_;
    base::millis last_service_update_at_ = 0;
    mutable base::suspend_aware_age journal_age_;
    telemetry::failure_streak append_failures_;
};

} // namespace hibiscus::entry
