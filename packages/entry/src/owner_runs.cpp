#include "hibiscus/base/result.hpp"
#include "owner.hpp"
#include "owner_limits.hpp"
#include "platform/sampler_calls.hpp"

#include <algorithm>

/// The runs and reward calls of an owner.
namespace hibiscus::entry {

namespace {

/// The share of the places of a service that reward calls may take; callers'
/// own requests to it come first.
constexpr double reward_share = 0.6;

constexpr std::size_t least_rewards = 2;

/// How long a reward call may take, in ms: its servers work 80 ms on it, 600
/// at most.
constexpr base::millis reward_ms = 2000;

/// How long after the end of a run its place is given to another one, in ms.
constexpr base::millis place_ms = 5;

} // namespace

void owner::run(const batch::effects& effects) {
    for (const auto& e : effects) {
        std::visit(
            base::overloaded{
                [&](const batch::start_run& r) { start_one(r); },
                [&](const batch::stop_run& s) {
                    const auto live = runs_.find(s.run);
                    if (live == runs_.end()) {
                        return;
                    }
                    state_.log.write(
                        "run_stopped",
                        {{"job", live->second.job},
                         {"item", live->second.number},
                         {"server", live->second.server},
                         {"events", live->second.events},
                         {"status", live->second.status},
                         {"ms", state_.clock.now() - live->second.started_at},
                         {"connections", live->second.call->opened() ? 1 : 0},
                         {"reason", s.reason}});
                    live->second.call->cancel();
                    runs_.erase(live);
                },
                [&](const batch::start_reward& r) {
                    rewards_.push_back({r.job, r.number, *r.call});
                }},
            e);
    }
    start_rewards();
}

void owner::start_one(const batch::start_run& r) {
    const auto* row = state_.samplers.find(r.sampler);
    auto& live = runs_[r.run];
    live.server = r.sampler;
    live.job = r.job;
    live.number = r.number;
    live.started_at = state_.clock.now();
    transport::call_options options;
    options.connect_ms = connect_ms;
    transport::upstream_events events;
    const auto run_id = r.run;
    events.head = [this, run_id](const transport::upstream_head& h) {
        const auto at = runs_.find(run_id);
        if (at == runs_.end()) {
            return;
        }
        const auto a = adapter::read_answer(h);
        at->second.status = a.status;
        at->second.not_run = a.not_run;
        at->second.other_server = a.other_server;
        if (a.status == 200 && a.version) {
            run(work_.head(run_id, *a.version));
        }
    };
    events.data = [this, run_id](std::string_view piece) {
        const auto at = runs_.find(run_id);
        if (at == runs_.end() || at->second.status != 200) {
            return;
        }
        for (auto& e : at->second.parser.feed(piece)) {
            ++at->second.events;
            run(work_.event(run_id, e.id, e.data, adapter::version_at(e)));
            if (runs_.count(run_id) == 0) {
                return;
            }
        }
    };
    events.ended = [this, run_id](transport::call_end end) {
        run_ended(run_id, end);
    };
    state_.log.write("run_started",
                     {{"job", r.job},
                      {"item", r.number},
                      {"id", r.content->id},
                      {"server", r.sampler},
                      {"running_there", row->running},
                      {"version", row->version_of(r.model)},
                      {"after_event", r.last_event},
                      {"expected_tokens", r.content->expected_tokens}});
    live.call =
        client_.start(row->registered.address, adapter::run_request(r), options,
                      std::move(events), adapter::request_id_field);
}

batch::run_end owner::end_of(const live_run& live,
                             transport::call_end end) const {
    // A body without a length that ends with its connection may have been cut
    // between two events; going on behind the last one shows whether it was.
    if (end != transport::call_end::complete) {
        return batch::run_end::cut;
    }
    if (live.status == 200) {
        return batch::run_end::complete;
    }
    if (live.other_server) {
        return batch::run_end::other_server;
    }
    if (live.not_run) {
        return batch::run_end::not_run;
    }
    if (live.status == 422) {
        return batch::run_end::impossible;
    }
    if (live.status == 500) {
        return batch::run_end::failed;
    }
    return batch::run_end::cut;
}

void owner::run_ended(batch::run_number run_id, transport::call_end end) {
    const auto at = runs_.find(run_id);
    if (at == runs_.end()) {
        return;
    }
    const auto what = end_of(at->second, end);
    const auto& live = at->second;
    state_.log.write("run_ended", {{"job", live.job},
                                   {"item", live.number},
                                   {"server", live.server},
                                   {"events", live.events},
                                   {"status", live.status},
                                   {"ms", state_.clock.now() - live.started_at},
                                   {"connections", live.call->opened() ? 1 : 0},
                                   {"how", base::name_of(end)},
                                   {"outcome", base::name_of(what)}});
    state_.counters.observe("run", state_.clock.now() - live.started_at);
    state_.counters.count_answer("run", std::string(base::name_of(what)), "");
    runs_.erase(at);
    run(work_.ended(run_id, what));
    place_soon();
    commit();
}

/// Places what waits after a run has ended. Not at once: in a large fleet
/// hundreds of runs end in a second, and to look at all that waits and all
/// servers after each of them would leave no time for their events.
void owner::place_soon() {
    if (std::exchange(placing_, true)) {
        return;
    }
    after_(place_ms, [this] {
        placing_ = false;
        if (owns()) {
            run(work_.place_waiting(may_start()));
        }
    });
}

std::size_t owner::reward_places(const samplers::service_name& service) const {
    int slots = 0;
    for (const auto& [id, row] : state_.samplers.rows()) {
        if (row.registered.service == service && !row.registered.draining) {
            slots += row.registered.slots;
        }
    }
    return std::max(least_rewards,
                    static_cast<std::size_t>(slots * reward_share));
}

void owner::start_rewards() {
    while (!rewards_.empty()) {
        const auto& first = rewards_.front();
        const auto* r = state_.routes
                            ? gateway::match(*state_.routes, first.call.host,
                                             first.call.path)
                            : nullptr;
        if (r != nullptr &&
            judging_.size() >= reward_places(samplers::service_name(
                                   r->targets.front().service))) {
            return;
        }
        const auto task = std::move(rewards_.front());
        rewards_.pop_front();
        send_reward(task);
    }
}

void owner::send_reward(const reward_task& task) {
    const auto* r =
        gateway::match(*state_.routes, task.call.host, task.call.path);
    if (r == nullptr) {
        state_.log.write(
            "reward_failed",
            {{"job", task.job}, {"item", task.number}, {"reason", "no route"}});
        run(work_.reward_ended(task.job, task.number, batch::reward_failed{}));
        return;
    }
    forward_request f;
    f.id = task.call.id;
    f.kind = "reward";
    f.content = adapter::reward_request(task.call);
    f.service = samplers::service_name(choose_target(*r, state_.draw()));
    f.attempts = r->attempts;
    f.repeatable = true;
    f.retry_failures = true;
    f.due = state_.clock.now() + reward_ms;
    f.objective_ms = r->objective_ms;
    const auto number = ++last_judging_;
    const int attempts = r->attempts;
    auto judged = [this, number, attempts, task](const forward_result& result) {
        judging_.erase(number);
        const auto outcome = std::visit(
            base::overloaded{
                [&](const forwarded& f) -> batch::reward_outcome {
                    if (f.head.status / 100 == 2) {
                        return batch::rewarded{f.signature};
                    }
                    return batch::reward_failed{f.failures, attempts};
                },
                [&](const not_forwarded& n) -> batch::reward_outcome {
                    return batch::reward_failed{n.failures, attempts};
                }},
            result);
        run(work_.reward_ended(task.job, task.number, outcome));
        commit();
    };
    judging_[number] = nullptr;
    auto going = requests_.send(std::move(f), std::move(judged));
    const auto at = judging_.find(number);
    if (at != judging_.end()) {
        at->second = std::move(going);
    }
}

} // namespace hibiscus::entry
