#include "hibiscus/base/result.hpp"
#include "job_owner.hpp"
#include "job_owner_limits.hpp"
#include "platform/sampler_calls.hpp"

#include <algorithm>

/// Runs of job_owner.
namespace hibiscus::entry {

namespace {

/// Delay between the end of a run and the placement of waiting items, in ms.
constexpr base::millis placement_delay_ms = 5;

} // namespace

void job_owner::apply_effects(const batch::effects& effects) {
    for (const auto& e : effects) {
        std::visit(
            base::overloaded{
                [&](const batch::start_run& r) { start_run(r); },
                [&](const batch::stop_run& s) {
                    const auto active = active_runs_.find(s.run);
                    if (active == active_runs_.end()) {
                        return;
                    }
                    log_stopped_run(active->second, s.reason);
                    if (active->second.call) {
                        active->second.call->cancel();
                    }
                    active_runs_.erase(active);
                },
                [&](const batch::start_reward& r) { reward_caller_.add(r); },
                [&](const batch::report_quarantine& r) {
                    log_suspected("request_quarantined", r.request);
                },
                [&](const batch::report_release& r) {
                    log_suspected("request_released", r.request);
                },
                [&](const batch::report_cleared_losses& r) {
                    log_cleared_losses(r);
                },
                [&](const batch::report_loss& r) { log_loss(r); },
                [&](const batch::report_late_loss& r) {
                    log_late_loss(r.loss);
                }},
            e);
    }
    reward_caller_.start_calls();
}

void job_owner::log_stopped_run(const active_run& active, const char* reason) {
    const auto* call = active.call.get();
    state_.log.write(
        "run_stopped",
        {{"job", active.job},
         {"item", active.item_index},
         {"id", active.request_id},
         {"server", active.server},
         {"started", active.server_started_ms},
         {"events", active.event_count},
         {"status", active.status},
         {"ms", state_.clock.now() - active.started_at},
         {"connections", call != nullptr && call->opened_connection() ? 1 : 0},
         {"resent", call != nullptr && call->was_resent()},
         {"reason", reason}});
}

void job_owner::start_run(const batch::start_run& r) {
    const auto* row = state_.samplers.find(r.sampler);
    auto& active = active_runs_[r.run];
    active.server = r.sampler;
    active.server_started_ms = row->registered.started_ms;
    active.job = r.job;
    active.item_index = r.item_index;
    active.request_id = r.content->id;
    active.started_at = state_.clock.now();
    if (!r.store_first && !r.check_server) {
        send_run(r);
        return;
    }
    delayed_runs_.push_back({r,
                             {r.workspace, r.content->id.str()},
                             {r.sampler, active.server_started_ms},
                             !r.check_server});
    if (r.check_server) {
        check_server({r.sampler, active.server_started_ms});
    }
}

void job_owner::send_run(const batch::start_run& r) {
    const auto* row = state_.samplers.find(r.sampler);
    if (row == nullptr) {
        on_run_ended(r.run, transport::call_outcome::not_sent);
        return;
    }
    transport::upstream_call_options options;
    options.connect_timeout_ms = server_connect_timeout_ms;
    options.resend_if_stale = r.resend_if_stale;
    options.reuse_connection = r.reuse_connection;
    transport::upstream_callbacks events;
    const auto run_id = r.run;
    events.on_head = [this, run_id](const transport::response_head& head) {
        const auto found = active_runs_.find(run_id);
        if (found == active_runs_.end()) {
            return;
        }
        const auto parsed = adapter::parse_response_head(head);
        found->second.status = parsed.status;
        found->second.not_run = parsed.not_run;
        found->second.misdirected = parsed.misdirected;
        if (parsed.status == 200 && parsed.first_weight_version) {
            apply_effects(scheduler_.on_response_started(
                run_id, *parsed.first_weight_version));
        }
    };
    events.on_data = [this, run_id](std::string_view data) {
        const auto found = active_runs_.find(run_id);
        if (found == active_runs_.end() || found->second.status != 200) {
            return;
        }
        auto& active = found->second;
        const auto events_of_run = active.parser.feed(data);
        active.call->keep(active.parser.held_bytes());
        for (const auto& e : events_of_run) {
            ++found->second.event_count;
            apply_effects(scheduler_.on_event(
                run_id, e.id, e.data, adapter::event_weight_version(e)));
            if (active_runs_.count(run_id) == 0) {
                return;
            }
        }
    };
    events.on_end = [this, run_id](transport::call_outcome outcome) {
        on_run_ended(run_id, outcome);
    };
    state_.log.write("run_started",
                     {{"job", r.job},
                      {"item", r.item_index},
                      {"id", r.content->id},
                      {"server", r.sampler},
                      {"running_there", row->in_flight},
                      {"version", row->version_of(r.model)},
                      {"after_event", r.resume_after_event},
                      {"expected_tokens", r.content->expected_output_tokens},
                      {"limit_events", r.limit ? r.limit->events : 0},
                      {"limit_ms", r.limit ? r.limit->ms : 0}});
    active_runs_.at(r.run).call =
        client_.start(row->registered.address, adapter::make_run_request(r),
                      options, std::move(events), adapter::request_id_header);
}

batch::run_outcome
job_owner::classify_run_end(const active_run& active,
                            transport::call_outcome outcome) const {
    // A body without a length may have been cut off between two events when its
    // connection closed. Resuming after the last event shows whether it was
    // complete.
    if (!active.call) {
        if (active.misdirected) {
            return batch::run_outcome::other_server;
        }
        return active.has_failed_check ? batch::run_outcome::no_sign
                                       : batch::run_outcome::not_sent;
    }
    if (outcome == transport::call_outcome::too_large) {
        return batch::run_outcome::unusable;
    }
    if (outcome != transport::call_outcome::complete) {
        const bool was_sent = outcome != transport::call_outcome::not_sent ||
                              active.call->was_resent();
        return was_sent ? batch::run_outcome::cut
                        : batch::run_outcome::unusable;
    }
    if (active.status == 200) {
        return batch::run_outcome::complete;
    }
    if (active.misdirected) {
        return active.call->was_resent() ? batch::run_outcome::replaced
                                         : batch::run_outcome::other_server;
    }
    if (active.not_run) {
        return batch::run_outcome::not_run;
    }
    if (active.status == 422) {
        return batch::run_outcome::impossible;
    }
    if (active.status == 500) {
        return batch::run_outcome::failed;
    }
    return batch::run_outcome::unusable;
}

void job_owner::on_run_ended(batch::run_number run_id,
                             transport::call_outcome outcome) {
    const auto found = active_runs_.find(run_id);
    if (found == active_runs_.end()) {
        return;
    }
    const auto run_outcome = classify_run_end(found->second, outcome);
    const auto& active = found->second;
    const auto* call = active.call.get();
    state_.log.write(
        "run_ended",
        {{"job", active.job},
         {"item", active.item_index},
         {"id", active.request_id},
         {"server", active.server},
         {"events", active.event_count},
         {"status", active.status},
         {"ms", state_.clock.now() - active.started_at},
         {"connections", call != nullptr && call->opened_connection() ? 1 : 0},
         {"resent", call != nullptr && call->was_resent()},
         {"refused", call != nullptr && call->was_refused()},
         {"how", base::name_of(outcome)},
         {"outcome", base::name_of(run_outcome)}});
    state_.counters.observe("run", state_.clock.now() - active.started_at);
    state_.counters.count_response("run",
                                   std::string(base::name_of(run_outcome)), "");
    const auto ended = active_runs_.extract(found);
    apply_effects(scheduler_.on_run_ended(run_id, run_outcome));
    note_ended_server(ended.mapped());
    store_losses_if_due();
    schedule_placement();
    commit_results();
}

/// Schedules a placement of waiting items after a run has ended. In a large
/// fleet hundreds of runs end each second; matching all waiting items with all
/// servers after each of them would leave no time to process events.
void job_owner::schedule_placement() {
    if (std::exchange(placement_scheduled_, true)) {
        return;
    }
    run_after_(placement_delay_ms, [this] {
        placement_scheduled_ = false;
        if (is_owner()) {
            apply_effects(scheduler_.place_waiting(may_start_items()));
        }
    });
}

} // namespace hibiscus::entry
