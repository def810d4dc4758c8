#include "hibiscus/base/result.hpp"
#include "job_owner.hpp"
#include "platform/sampler_calls.hpp"

#include <algorithm>

/// Servers of job_owner that may have ended while they ran a request: checks
/// them, and stores what is known of them.
namespace hibiscus::entry {

namespace {

/// Minimum time between two appends of losses that no request waits for, in ms,
/// and the maximum number of them in one append. Every node reads them.
constexpr base::millis loss_append_interval_ms = 250;
constexpr std::size_t max_losses_per_append = 16;

/// Maximum time for which a run waits until its losses are stored, in ms. It
/// must not look silent.
constexpr base::millis max_run_delay_ms = 500;

/// A server from which nothing comes for this long during a check fails it, in
/// ms.
constexpr base::millis max_check_ms = 300;

/// Larger likelihood ratios are logged as this one.
constexpr double max_logged_ratio = 1e9;

} // namespace

void job_owner::log_suspected(const char* event,
                              const batch::suspected_request& request) {
    const auto& evidence = request.evidence;
    state_.counters.count_event(event);
    state_.log.write(
        event, {{"job", request.job},
                {"item", request.item_index},
                {"id", request.request_id},
                {"kind", request.is_reward ? "reward" : "item"},
                {"losses", evidence.losses},
                {"cleared", evidence.cleared_losses},
                {"agreeing", evidence.agreeing_losses},
                {"late", evidence.late_losses},
                {"without_events", evidence.losses_without_events},
                {"other_ends", evidence.chance.other_ends},
                {"ratio", static_cast<std::int64_t>(std::min(
                              evidence.chance.ratio, max_logged_ratio))}});
}

void job_owner::log_cleared_losses(const batch::report_cleared_losses& report) {
    state_.counters.count_event("losses_cleared");
    state_.log.write("losses_cleared", {{"job", report.job},
                                        {"item", report.item_index},
                                        {"id", report.request_id},
                                        {"losses", report.cleared_losses},
                                        {"events", report.event_count}});
}

void job_owner::log_loss(const batch::report_loss& report) {
    const auto& loss = report.loss;
    state_.counters.count_event("server_lost");
    state_.log.write("server_lost",
                     {{"job", report.job},
                      {"item", report.item_index},
                      {"id", report.request_id},
                      {"kind", report.is_reward ? "reward" : "item"},
                      {"server", loss.process.server},
                      {"started", loss.process.started_ms},
                      {"run_ms", loss.progress.run_ms},
                      {"run_events", loss.progress.run_events},
                      {"events", loss.progress.text_events},
                      {"silent", loss.silent_since.has_value()},
                      {"silence_ms", loss.silence_ms},
                      {"quiet_ms", loss.quiet_ms},
                      {"responded", loss.has_response},
                      {"counts", report.counts},
                      {"losses", report.loss_count}});
}

void job_owner::log_late_loss(const batch::crash_ledger::late_loss& loss) {
    state_.counters.count_event("server_lost_late");
    state_.log.write("server_lost_late", {{"id", loss.request.request_id},
                                          {"server", loss.process.server},
                                          {"started", loss.process.started_ms},
                                          {"age_ms", loss.age_ms},
                                          {"losses", loss.loss_count}});
}

/// Notes what the end of a run says of its server: an address that refuses
/// connections or belongs to another server shows that the process has ended.
void job_owner::note_ended_server(const active_run& active) {
    const bool was_refused = active.call && active.call->was_refused();
    if (was_refused || active.misdirected) {
        crashes_.on_ended({active.server, active.server_started_ms});
    }
}

void job_owner::check_lost_servers() {
    crashes_.forget_expired();
    // Before the registrations are read, every server would look ended.
    if (state_.samplers.rows().empty()) {
        return;
    }
    for (const auto& check : crashes_.take_due_checks()) {
        check_lost_server(check);
    }
}

void job_owner::check_lost_server(
    const batch::crash_ledger::lost_process& check) {
    const auto lost_ms = state_.clock.now() - check.lost_at;
    const auto verdict = batch::judge_by_registration(
        state_.samplers.find(check.process.server), check.process, lost_ms,
        state_.settings.server_renewal_ms);
    const bool has_returned = verdict != batch::server_verdict::ended &&
                              crashes_.is_taken_for_ended(check.process);
    if (verdict == batch::server_verdict::unknown || has_returned) {
        request_start_time(check);
    }
    if (verdict != batch::server_verdict::unknown) {
        settle_check(check, verdict, "registration", check.lost_at);
    }
}

void job_owner::settle_check(const batch::crash_ledger::lost_process& check,
                             batch::server_verdict verdict,
                             const char* evidence, base::millis alive_until) {
    if (verdict == batch::server_verdict::ended) {
        crashes_.on_ended(check.process);
    } else if (verdict == batch::server_verdict::alive) {
        crashes_.on_alive(check.process, alive_until);
    }
    state_.log.write("server_checked",
                     {{"server", check.process.server},
                      {"evidence", evidence},
                      {"age_ms", state_.clock.now() - check.lost_at},
                      {"outcome", base::name_of(verdict)}});
}

/// Asks a model server when its process has started. Other servers report
/// nothing of the kind; for them, the registration has to tell.
void job_owner::request_start_time(
    const batch::crash_ledger::lost_process& check) {
    const auto* row = state_.samplers.find(check.process.server);
    if (row->registered.versions.empty()) {
        return;
    }
    auto request = adapter::make_report_request();
    adapter::set_expected_server(request, check.process.server);
    call_server(check.process.server, std::move(request),
                [this, check, asked_at = state_.clock.now()](
                    const server_response& response) {
                    on_start_time(check, asked_at, response);
                });
}

void job_owner::on_start_time(const batch::crash_ledger::lost_process& check,
                              base::millis asked_at,
                              const server_response& response) {
    const auto report = response.status == 200
                            ? adapter::parse_report(response.body)
                            : std::nullopt;
    const bool is_other_process =
        response.status == adapter::misdirected_status ||
        (report && report->started_ms != 0 &&
         report->started_ms != check.process.started_ms);
    auto verdict = batch::server_verdict::unknown;
    if (response.refused || is_other_process) {
        verdict = batch::server_verdict::ended;
    } else if (report) {
        verdict = batch::server_verdict::alive;
    }
    settle_check(check, verdict, "report", state_.clock.now());
    if (report && report->started_ms != 0 &&
        report->started_ms == check.process.started_ms) {
        crashes_.on_responded(check.process, asked_at);
    }
}

/// Stores the losses that a request waits for at once, others now and then.
/// Sends the runs that waited for it.
void job_owner::store_losses_if_due() {
    const auto now = state_.clock.now();
    // An append of results that is under way would fail.
    const bool is_due = crashes_.has_urgent_rows() ||
                        (!committer_.is_busy() &&
                         now - last_loss_append_at_ >= loss_append_interval_ms);
    if (is_due && !appending_ && fencing_token()) {
        append_losses();
    }
    send_delayed_runs();
}

void job_owner::append_losses() {
    auto rows = crashes_.unsaved_rows(max_losses_per_append);
    if (rows.empty()) {
        return;
    }
    last_loss_append_at_ = state_.clock.now();
    std::vector<store::record> records;
    records.reserve(rows.size() + 1);
    for (const auto& row : rows) {
        records.push_back(row.record);
    }
    append_as_owner(std::move(records),
                    [this, rows = std::move(rows)](bool done) {
                        if (done) {
                            crashes_.on_saved(rows);
                        }
                        send_delayed_runs();
                    });
}

/// Asks the server of a run for its report, unless it is being asked. The call
/// ends in any case, and stalls of this process don't count.
void job_owner::check_server(const batch::server_process& process) {
    if (!server_checks_.insert(process).second) {
        return;
    }
    auto request = adapter::make_report_request();
    adapter::set_expected_server(request, process.server);
    call_server(
        process.server, std::move(request),
        [this, process](const server_response& response) {
            on_server_checked(process, response);
        },
        max_check_ms);
}

/// Returns true if a response shows that another process than `process` listens
/// at its address.
bool job_owner::is_other_process(const batch::server_process& process,
                                 const server_response& response) const {
    const auto report = response.status == 200
                            ? adapter::parse_report(response.body)
                            : std::nullopt;
    return response.status == adapter::misdirected_status ||
           (report && report->started_ms != 0 && process.started_ms != 0 &&
            report->started_ms != process.started_ms);
}

/// Settles the check of all runs that wait for this server process. Any
/// response shows that the server is alive, also one that is no report.
void job_owner::on_server_checked(const batch::server_process& process,
                                  const server_response& response) {
    server_checks_.erase(process);
    const bool is_other = is_other_process(process, response);
    const bool is_alive = response.status != 0 && !is_other;
    const auto* row = state_.samplers.find(process.server);
    if (is_alive && row != nullptr &&
        row->registered.started_ms == process.started_ms) {
        state_.samplers.on_heard(process.server);
    }
    const auto waiting = std::exchange(delayed_runs_, {});
    std::vector<delayed_run> failed;
    for (auto delayed : waiting) {
        const bool is_settled =
            !delayed.is_server_checked && delayed.process == process;
        delayed.is_server_checked =
            delayed.is_server_checked || (is_settled && is_alive);
        (is_settled && !is_alive ? failed : delayed_runs_).push_back(delayed);
    }
    for (const auto& delayed : failed) {
        give_up_delayed_run(delayed, is_other);
    }
    send_delayed_runs();
}

/// Sends the runs whose losses the store has and whose servers have passed
/// their checks. Gives up those that can't be sent soon; their items are placed
/// again.
void job_owner::send_delayed_runs() {
    const auto now = state_.clock.now();
    const bool may_start = may_start_items();
    const auto waiting = std::exchange(delayed_runs_, {});
    for (const auto& delayed : waiting) {
        const auto active = active_runs_.find(delayed.run.run);
        if (active == active_runs_.end()) {
            continue;
        }
        const bool is_stored = crashes_.is_stored(delayed.request);
        const bool is_ready = is_stored && delayed.is_server_checked;
        const bool is_overdue =
            delayed.is_server_checked &&
            now - active->second.started_at > max_run_delay_ms;
        if (is_ready && may_start) {
            scheduler_.on_run_sent(delayed.run.run);
            send_run(delayed.run);
        } else if (is_ready || is_overdue) {
            give_up_delayed_run(delayed, false);
        } else {
            delayed_runs_.push_back(delayed);
        }
    }
}

/// `is_misdirected` is true if another server listens at the address.
void job_owner::give_up_delayed_run(const delayed_run& delayed,
                                    bool is_misdirected) {
    const auto active = active_runs_.find(delayed.run.run);
    if (active != active_runs_.end()) {
        active->second.has_failed_check = !delayed.is_server_checked;
        active->second.misdirected = is_misdirected;
        on_run_ended(delayed.run.run, transport::call_outcome::not_sent);
    }
}

} // namespace hibiscus::entry
