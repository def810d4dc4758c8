#include "hibiscus/admission/service_gate.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace hibiscus::admission {

namespace {

/// Response time that is assumed before the first response, in ms.
constexpr double initial_cost_ms = 100;

/// Rejections in a row after which a server tells nothing about the others.
constexpr int max_rejections_in_row = 3;

/// Time for which a workspace counts as active after a request, in ms.
constexpr base::millis workspace_active_ms = 2000;

constexpr std::size_t max_active_workspaces = 256;
constexpr std::size_t max_routes = 256;
constexpr std::size_t max_servers = 4096;

constexpr base::millis idle_ms = 10000;

constexpr base::millis min_poll_ms = 1;
constexpr base::millis max_poll_ms = 100;

/// How a node that doesn't know of the others changes its rate: down while
/// servers show that they have no room, up otherwise, per second.
constexpr double reduction_per_s = 0.5;
constexpr double increase_per_s = 0.1;
constexpr double min_alone_slots = 0.05;

/// Room, as a multiple of the demand, at which a shortage that has begun ends.
constexpr double end_of_shortage = 1.05;

constexpr double ms_per_s = 1000;

/// Mean intervals without a request after which a node wants nothing more.
constexpr double idle_intervals = 4;

/// Requests come in bursts; a pause within this time, in ms, means nothing.
constexpr double min_idle_ms = 700;

/// A response may take this multiple of the mean.
constexpr double response_slack = 1.5;

/// Requests in flight, as a multiple of the slots, from which some wait.
constexpr double waiting_load = 1.2;

} // namespace

gate_decision service_gate::on_arrival(const gate_request& request,
                                       base::millis now) {
    last_arrival_at_ = now;
    auto& l = lane_of(request.kind);
    const double cost = cost_ms(request.route);
    l.demand.add(cost, now);
    l.arrivals.add(1, now);
    l.last_arrival_at = now;
    if (request.kind == traffic_kind::callers &&
        (workspaces_.size() < max_active_workspaces ||
         workspaces_.count(request.workspace) != 0)) {
        workspaces_[request.workspace].seen_at = now;
    }
    if (!limiting_ || try_admit(l, request, cost, now)) {
        admit(l, request.workspace, cost, now);
        return {};
    }
    l.queue.push({request.number, request.priority, request.workspace, cost,
                  response_ms(request.route), request.deadline});
    gate_decision own{verdict::queued, 0};
    for (const auto& r : take_hopeless(l, now)) {
        if (r.number == request.number) {
            own = r.decision;
        } else {
            displaced_.push_back(r);
        }
    }
    return own;
}

bool service_gate::try_admit(lane& l, const gate_request& request, double cost,
                             base::millis now) {
    if (l.queue.empty() && l.bucket.try_take(cost, now)) {
        return true;
    }
    // Others that send more than their shares don't make it wait.
    return is_below_share(l, request.workspace, now) &&
           l.bucket.try_overdraw(cost, now);
}

bool service_gate::is_below_share(const lane& l, const std::string& workspace,
                                  base::millis now) {
    const double active = active_workspaces(now);
    const auto found = workspaces_.find(workspace);
    return active > 1 && found != workspaces_.end() &&
           found->second.admitted.rate_per_ms(now) < l.bucket.rate() / active;
}

void service_gate::admit(lane& l, const std::string& workspace, double cost,
                         base::millis now) {
    l.admitted.add(cost, now);
    const auto found = workspaces_.find(workspace);
    if (found != workspaces_.end()) {
        found->second.admitted.add(cost, now);
    }
    budget_.on_request(now);
}

std::vector<released_request> service_gate::take_hopeless(lane& l,
                                                          base::millis now) {
    std::vector<released_request> rejected;
    for (const auto& r :
         l.queue.take_hopeless(l.bucket.rate(), l.bucket.wait_ms(now), now)) {
        rejected.push_back({r.number, {verdict::rejected, 0}});
    }
    const auto wait = retry_after(l, now);
    for (auto& r : rejected) {
        r.decision.retry_after_ms = wait;
    }
    return rejected;
}

/// Returns the time until the queue has drained, in ms.
base::millis service_gate::retry_after(lane& l, base::millis now) {
    constexpr double min_ms = 20;
    constexpr double max_ms = 10000;
    const double wait =
        l.bucket.wait_ms(now) + l.queue.total_cost_ms() / l.bucket.rate();
    return static_cast<base::millis>(
        std::ceil(std::clamp(wait, min_ms, max_ms)));
}

std::vector<released_request> service_gate::poll(base::millis now) {
    auto released = std::exchange(displaced_, {});
    for (auto& l : lanes_) {
        const auto hopeless = take_hopeless(l, now);
        released.insert(released.end(), hopeless.begin(), hopeless.end());
        while (const auto* first = l.queue.front()) {
            const double cost = first->cost_ms;
            const auto workspace = first->workspace;
            if (limiting_ && !l.bucket.try_take(cost, now)) {
                break;
            }
            admit(l, workspace, cost, now);
            released.push_back({l.queue.pop().number, {}});
        }
    }
    return released;
}

base::millis service_gate::poll_delay(base::millis now) {
    if (!displaced_.empty()) {
        return min_poll_ms;
    }
    base::millis delay = 0;
    for (auto& l : lanes_) {
        if (!l.queue.empty()) {
            const auto wait = std::clamp(
                static_cast<base::millis>(std::ceil(l.bucket.wait_ms(now))),
                min_poll_ms, max_poll_ms);
            delay = delay == 0 ? wait : std::min(delay, wait);
        }
    }
    return delay;
}

void service_gate::on_cancelled(std::uint64_t number) {
    for (auto& l : lanes_) {
        l.queue.remove(number);
    }
}

void service_gate::on_rejected(const std::string& server, base::millis now) {
    if (rejections_in_row_.size() >= max_servers) {
        rejections_in_row_.clear();
    }
    // A server that rejects everything is broken rather than full.
    if (++rejections_in_row_[server] < max_rejections_in_row) {
        room_.on_rejected(now);
    }
}

void service_gate::on_response(const std::string& server,
                               const std::string& route, base::millis ms,
                               base::millis now) {
    rejections_in_row_.erase(server);
    served_.add(cost_ms(route), now);
    if (routes_.size() < max_routes || routes_.count(route) != 0) {
        auto& r = routes_[route];
        room_.on_response(r.usual.is_slow(ms), now);
        r.usual.add_sample(ms, levels_.load > waiting_load);
        r.latency.add_sample(ms);
    }
    usual_of_all_.add_sample(ms);
}

void service_gate::on_sent(base::millis now) {
    in_flight_.set(in_flight_.level() + 1, now);
}

void service_gate::on_ended(base::millis now) {
    in_flight_.set(std::max(0.0, in_flight_.level() - 1), now);
}

bool service_gate::may_repeat(double cost, base::millis now) {
    return has_room(now) || budget_.try_take(cost, now);
}

bool service_gate::can_repeat(double cost, base::millis now) {
    return has_room(now) || budget_.has(cost, now);
}

bool service_gate::has_room(base::millis now) const {
    return !limiting_ && !room_.is_pressed(now);
}

base::millis service_gate::retry_after_ms(traffic_kind kind, base::millis now) {
    return limiting_ ? retry_after(lane_of(kind), now) : 0;
}

double service_gate::usual_ms(const std::string& route) const {
    const auto found = routes_.find(route);
    return found == routes_.end() ? 0 : found->second.usual.value(0);
}

double service_gate::cost_ms(const std::string& route) const {
    const double usual = usual_ms(route);
    return usual > 0 ? usual : usual_of_all_.value(initial_cost_ms);
}

double service_gate::response_ms(const std::string& route) const {
    const auto found = routes_.find(route);
    const double mean = found == routes_.end()
                            ? 0
                            : static_cast<double>(found->second.latency.mean());
    return response_slack * std::max(mean, cost_ms(route));
}

/// Requests that stay away for several of their usual intervals are over.
double service_gate::demand_of(const lane& l, base::millis now) {
    const auto gap_ms = static_cast<double>(now - l.last_arrival_at);
    const double before = l.arrivals.rate_per_ms(l.last_arrival_at);
    const bool is_over =
        gap_ms > min_idle_ms && gap_ms * before > idle_intervals;
    return is_over ? 0 : l.demand.rate_per_ms(now);
}

double service_gate::active_workspaces(base::millis now) {
    for (auto w = workspaces_.begin(); w != workspaces_.end();) {
        w = now - w->second.seen_at >= workspace_active_ms
                ? workspaces_.erase(w)
                : std::next(w);
    }
    return std::max(1.0, static_cast<double>(workspaces_.size()));
}

node_demand service_gate::demand(base::millis now) {
    room_.update(now);
    return {{demand_of(lane_of(traffic_kind::callers), now),
             demand_of(lane_of(traffic_kind::rewards), now)},
            room_.factor(),
            active_workspaces(now),
            in_flight_.value(now),
            served_.rate_per_ms(now)};
}

void service_gate::set_levels(const share_levels& levels, base::millis now) {
    const double total = levels.demand.callers + levels.demand.rewards;
    const bool stays_short = limiting_ && total * end_of_shortage > levels.room;
    // Until the shortage is clearly over, the last levels hold.
    const auto last = levels_.level;
    levels_ = levels;
    if (!levels.is_short() && stays_short) {
        levels_.level = last;
    }
    limiting_ = levels_.is_short();
    adapted_at_ = now;
    if (limiting_) {
        set_rates({levels_.level.callers * active_workspaces(now),
                   levels_.level.rewards},
                  now);
    }
}

void service_gate::set_rates(const traffic_slots& slots, base::millis now) {
    lane_of(traffic_kind::callers).bucket.set_rate(slots.callers, now);
    lane_of(traffic_kind::rewards).bucket.set_rate(slots.rewards, now);
}

void service_gate::adapt_alone(base::millis now) {
    room_.update(now);
    const double seconds =
        std::min(1.0, static_cast<double>(now - adapted_at_) / ms_per_s);
    adapted_at_ = now;
    const bool pressed = room_.is_pressed(now);
    if (!limiting_ && !pressed) {
        return;
    }
    const double change =
        1 + (pressed ? -reduction_per_s : increase_per_s) * seconds;
    bool any_limits = false;
    for (auto& l : lanes_) {
        const double used = l.admitted.rate_per_ms(now);
        const double wanted = l.demand.rate_per_ms(now);
        const double rate = limiting_ ? l.bucket.rate() : used;
        l.bucket.set_rate(std::max(min_alone_slots, rate * change), now);
        any_limits = any_limits || l.bucket.rate() < wanted;
    }
    limiting_ = pressed || any_limits;
}

std::size_t service_gate::queued() const {
    std::size_t total = 0;
    for (const auto& l : lanes_) {
        total += l.queue.size();
    }
    return total;
}

bool service_gate::is_idle(base::millis now) const {
    return now - last_arrival_at_ >= idle_ms && queued() == 0;
}

} // namespace hibiscus::admission
