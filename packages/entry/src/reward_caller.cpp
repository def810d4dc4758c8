#include "reward_caller.hpp"

#include "hibiscus/base/result.hpp"
#include "platform/sampler_calls.hpp"

#include <algorithm>
#include <limits>

namespace hibiscus::entry {

namespace {

/// Scoring lags once a new call would be answered after this time, in ms, and
/// until no call is queued.
constexpr base::millis lag_threshold_ms = 1000;

/// Interval of the metrics, and of a line for each service that lags, in ms.
constexpr base::millis report_interval_ms = 1000;

/// The least time limit of a call, in ms, however little its job has left.
constexpr base::millis min_time_limit_ms = 250;

/// The delay of a repeat while the configuration has no route for the call, in
/// ms.
constexpr base::millis no_route_delay_ms = 500;

batch::scoring_end classify(const forward_result& result) {
    return std::visit(
        base::overloaded{[](const forwarded_response& response) {
                             return response.head.status / 100 == 2
                                        ? batch::scoring_end::scored
                                        : batch::scoring_end::failed;
                         },
                         [](const forward_failure& failure) {
                             return failure.timed_out ||
                                            failure.may_have_executed
                                        ? batch::scoring_end::timed_out
                                        : batch::scoring_end::rejected;
                         }},
        result);
}

base::millis retry_after_ms(const forward_result& result) {
    const auto* failure = std::get_if<forward_failure>(&result);
    return failure == nullptr ? 0 : failure->retry_after_ms;
}

int failed_attempts(const forward_result& result) {
    return std::visit([](const auto& r) { return r.failed_attempts; }, result);
}

} // namespace

reward_caller::reward_caller(node_state& state, forwarder& request_forwarder,
                             done_function done, lost_function lost,
                             lost_function abandoned,
                             permission_function may_repeat)
    : state_(state), forwarder_(request_forwarder), on_done_(std::move(done)),
      on_lost_(std::move(lost)), on_abandoned_(std::move(abandoned)),
      may_repeat_(std::move(may_repeat)) {}

void reward_caller::add(const batch::start_reward& reward) {
    const auto* route =
        state_.configuration
            ? gateway::find_route(*state_.configuration, reward.call->host,
                                  reward.call->path)
            : nullptr;
    if (route == nullptr) {
        postpone_without_route(reward.job, reward.item_index);
        return;
    }
    batch::scoring_call call;
    call.job = reward.job;
    call.item_index = reward.item_index;
    call.service = samplers::service_name(
        choose_service(*route, state_.random_fraction()));
    call.group = reward.group;
    call.unscored_items = reward.unscored_items;
    call.group_items = reward.group_items;
    call.is_resubmitted = reward.is_resubmitted;
    call.target_at = reward.target_at;
    queued_[{reward.job, reward.item_index}] = {
        *reward.call, reward.expires_at, reward.max_lost_servers,
        reward.reuse_connection, reward.avoid_silent_servers};
    queue_.set_target(call.service, route->latency_target_ms);
    queue_.add(std::move(call), state_.clock.now());
}

/// The route may be back before the job ends.
void reward_caller::postpone_without_route(const batch::job_id& id,
                                           int item_index) {
    state_.log.write(
        "reward_failed",
        {{"job", id}, {"item", item_index}, {"reason", "no route"}});
    on_done_(id, item_index, batch::reward_not_sent{no_route_delay_ms});
}

/// Returns the priority of a reward call: that of its job if it is more urgent,
/// since the job waits for it.
int reward_caller::priority_of(const batch::job_id& id,
                               const gateway::route& reward_route) const {
    const auto& configuration = *state_.configuration;
    const auto* row = state_.jobs.find(id);
    if (row == nullptr || !row->header) {
        return reward_route.priority;
    }
    const auto* holder =
        configuration.workspaces
            ? configuration.workspaces->find(row->header->workspace)
            : nullptr;
    const auto priority = gateway::effective_priority(reward_route, holder);
    const auto* route = gateway::find_route(configuration, row->header->host,
                                            row->header->path);
    return route == nullptr
               ? priority
               : std::min(priority,
                          gateway::effective_priority(*route, holder));
}

void reward_caller::start_calls() {
    // A call may end while it is sent.
    if (std::exchange(starting_, true)) {
        return;
    }
    for (const auto& status : queue_.status(state_.clock.now())) {
        queue_.set_capacity(status.service,
                            state_.samplers.slot_count(status.service));
        queue_.set_share_kept(status.service, forwarder_.keeps_shares());
    }
    while (const auto taken = queue_.take_next(state_.clock.now())) {
        send(*taken);
    }
    starting_ = false;
}

void reward_caller::send(const batch::scoring_queue::taken_call& taken) {
    const auto& call = taken.call;
    const auto number = taken.number;
    const auto queued = queued_.extract({call.job, call.item_index});
    const auto& reward = queued.mapped();
    const auto now = state_.clock.now();
    const auto* route =
        state_.configuration
            ? gateway::find_route(*state_.configuration, reward.call.host,
                                  reward.call.path)
            : nullptr;
    active_[number] = nullptr;
    if (route == nullptr) {
        active_.erase(number);
        queue_.on_ended(number, batch::scoring_end::rejected, 0,
                        state_.random_fraction(), now);
        postpone_without_route(call.job, call.item_index);
        return;
    }
    auto time_limit = taken.time_limit;
    if (reward.expires_at > 0) {
        time_limit = std::min(time_limit, reward.expires_at - now);
    }
    forward_request request;
    request.id = reward.call.id;
    request.kind = "reward";
    request.http_request = adapter::make_reward_request(reward.call);
    request.service = call.service;
    request.max_attempts = route->max_attempts;
    request.retryable = true;
    request.retry_server_errors = true;
    request.max_lost_servers = reward.max_lost_servers;
    request.reuse_connection = reward.reuse_connection;
    request.avoid_silent_servers = reward.avoid_silent_servers;
    request.on_server_lost = [this, job = call.job,
                              item = call.item_index](const auto& lost) {
        on_lost_(job, item, lost);
    };
    request.on_abandoned = [this, job = call.job,
                            item = call.item_index](const auto& last_seen) {
        on_abandoned_(job, item, last_seen);
    };
    request.may_repeat = [this, job = call.job, item = call.item_index] {
        return may_repeat_(job, item);
    };
    request.deadline = now + std::max(min_time_limit_ms, time_limit);
    request.latency_target_ms = route->latency_target_ms;
    request.priority = priority_of(call.job, *route);
    auto active =
        forwarder_.send(std::move(request),
                        [this, number, call, attempts = route->max_attempts](
                            const forward_result& result) {
                            on_result(number, call, attempts, result);
                        });
    const auto found = active_.find(number);
    if (found != active_.end()) {
        found->second = std::move(active);
    }
}

void reward_caller::on_result(batch::scoring_number number,
                              const batch::scoring_call& call, int max_attempts,
                              const forward_result& result) {
    active_.erase(number);
    const auto end = classify(result);
    const auto delay =
        queue_.on_ended(number, end, retry_after_ms(result),
                        state_.random_fraction(), state_.clock.now());
    if (end == batch::scoring_end::scored) {
        on_done_(call.job, call.item_index,
                 batch::reward_score{
                     std::get<forwarded_response>(result).signature});
    } else {
        on_done_(call.job, call.item_index,
                 batch::reward_failure{failed_attempts(result), max_attempts,
                                       delay});
    }
}

void reward_caller::drop_job(const batch::job_id& id, const char* reason) {
    const auto dropped = queue_.drop_job(id);
    queued_.erase(queued_.lower_bound({id, 0}),
                  queued_.lower_bound({id, std::numeric_limits<int>::max()}));
    for (const auto number : dropped.in_flight) {
        const auto active = active_.extract(number);
        if (!active.empty() && active.mapped()) {
            active.mapped()->cancel();
        }
    }
    if (dropped.queued > 0 || !dropped.in_flight.empty()) {
        state_.log.write(
            "rewards_dropped",
            {{"job", id},
             {"queued", dropped.queued},
             {"in_flight", static_cast<int>(dropped.in_flight.size())},
             {"reason", reason}});
        for (int n = 0; n < dropped.queued; ++n) {
            state_.counters.count_response("reward", "dropped", reason);
        }
    }
}

void reward_caller::drop_all(const char* reason) {
    for (const auto& id : queue_.jobs()) {
        drop_job(id, reason);
    }
}

void reward_caller::report(int withheld_items) {
    const auto now = state_.clock.now();
    const bool is_due = now - last_report_at_ >= report_interval_ms;
    if (is_due) {
        last_report_at_ = now;
        state_.counters.set("rewards_queued", queue_.queued_count());
        state_.counters.set("rewards_in_flight", queue_.in_flight_count());
    }
    for (const auto& status : queue_.status(now)) {
        const bool lagged = lagging_services_.count(status.service) != 0;
        const bool lags =
            lagged ? status.queued > 0 : status.wait_ms > lag_threshold_ms;
        if (lags == lagged && !(lags && is_due)) {
            continue;
        }
        const char* phase = "lags";
        if (!lagged) {
            phase = "begins";
            lagging_services_.insert(status.service);
            state_.counters.count_event("scoring_lag");
        } else if (!lags) {
            phase = "ends";
            lagging_services_.erase(status.service);
        }
        state_.log.write("scoring_lag", {{"service", status.service},
                                         {"phase", phase},
                                         {"queued", status.queued},
                                         {"in_flight", status.in_flight},
                                         {"window", status.window},
                                         {"wait_ms", status.wait_ms},
                                         {"withheld", withheld_items}});
    }
}

} // namespace hibiscus::entry
