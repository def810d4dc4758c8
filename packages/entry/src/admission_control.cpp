#include "admission_control.hpp"

#include "forwarder.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscus::entry {

namespace {

/// Interval between two updates of the shares, in ms.
constexpr base::millis update_interval_ms = 200;

/// Interval between two log lines about one shortage, in ms, and the relative
/// change of a share that is worth a line.
constexpr base::millis shortage_log_interval_ms = 1000;
constexpr double logged_change = 0.25;

bool differs(double a, double b) {
    return std::abs(a - b) > logged_change * std::max(a, b);
}

/// Returns an amount of slots in hundredths, for the log.
std::int64_t percent(double slots) {
    constexpr double parts = 100;
    return std::llround(std::min(slots, 1e6) * parts);
}

} // namespace

void admission_control::start() {
    update();
}

admission_control::service_state&
admission_control::state_of(const samplers::service_name& service) {
    auto& s = services_[service.str()];
    if (!s) {
        s = std::make_unique<service_state>(
            admission::gate_settings{state_.settings.retry_ratio});
    }
    return *s;
}

admission::service_gate&
admission_control::gate(const samplers::service_name& service) {
    return state_of(service).gate;
}

std::uint64_t admission_control::request(const forward_request& request,
                                         decision_function decided) {
    const auto now = state_.clock.now();
    const auto number = ++last_number_;

    auto& s = state_of(request.service);
    const auto kind = traffic_kind_of(request);
    // While there is too little room, a late response takes the place of one
    // that is in time. Nobody waits for a single reward call.
    const auto deadline =
        kind == admission::traffic_kind::callers &&
                request.latency_target_ms > 0
            ? std::min(request.deadline, now + request.latency_target_ms)
            : request.deadline;
    const auto decision =
        s.gate.on_arrival({number, kind, request.priority, request.workspace,
                           request.route, deadline},
                          now);
    waiting_request r{request.id, request.kind, request.workspace,
                      std::move(decided)};
    switch (decision.outcome) {
    case admission::verdict::rejected:
        log_rejection(request.service, s, r, decision.retry_after_ms);
        poll_later(request.service, s);
        [[fallthrough]];
    case admission::verdict::admitted:
        r.decided(decision);
        break;
    case admission::verdict::queued:
        state_.counters.count_response(request.kind, "queued", "");
        waiting_[number] = std::move(r);
        poll_later(request.service, s);
        break;
    }
    return number;
}

void admission_control::cancel(const samplers::service_name& service,
                               std::uint64_t number) {
    if (waiting_.erase(number) != 0) {
        state_of(service).gate.on_cancelled(number);
    }
}

void admission_control::poll_later(const samplers::service_name& service,
                                   service_state& s) {
    const auto delay_ms = s.gate.poll_delay(state_.clock.now());
    if (delay_ms == 0 || std::exchange(s.polling, true)) {
        return;
    }
    run_after_(delay_ms, [this, service] { poll(service); });
}

void admission_control::poll(const samplers::service_name& service) {
    auto& s = state_of(service);
    s.polling = false;
    for (const auto& released : s.gate.poll(state_.clock.now())) {
        const auto found = waiting_.find(released.number);
        if (found == waiting_.end()) {
            continue;
        }
        const auto r = std::move(found->second);
        waiting_.erase(found);
        if (released.decision.outcome == admission::verdict::rejected) {
            log_rejection(service, s, r, released.decision.retry_after_ms);
        }
        r.decided(released.decision);
    }
    poll_later(service, s);
}

void admission_control::log_rejection(const samplers::service_name& service,
                                      service_state& s,
                                      const waiting_request& r,
                                      base::millis retry_after_ms) {
    ++s.rejected;
    state_.counters.count_response(r.kind, "refused", "shortage");
    state_.log.write("not_admitted",
                     {{"kind", r.kind},
                      {"id", r.id},
                      {"service", service},
                      {"workspace", r.workspace},
                      {"queued", static_cast<int>(s.gate.queued())},
                      {"retry_after_ms", retry_after_ms},
                      {"reason", "shortage"}});
}

membership::service_demands admission_control::demands() {
    const auto now = state_.clock.now();
    membership::service_demands all;
    for (const auto& [service, s] : services_) {
        if (!s->gate.is_idle(now) && all.size() < membership::max_demands) {
            all[service] = s->gate.demand(now);
        }
    }
    return all;
}

membership::service_levels admission_control::published_levels() const {
    return published_;
}

void admission_control::update() {
    const auto now = state_.clock.now();
    update_shares(now);
    run_after_(update_interval_ms, [this] { update(); });
}

void admission_control::update_shares(base::millis now) {
    const auto* others = fleet_.other_demands();
    if (others != nullptr && fleet_.is_publishing()) {
        publish_levels(*others, now);
    } else {
        published_.clear();
    }
    for (auto s = services_.begin(); s != services_.end();) {
        const auto& [service, state] = *s;
        update_service(service, *state, others, now);
        if (state->gate.is_idle(now) && !state->polling && !state->was_short) {
            rooms_.erase(service);
            s = services_.erase(s);
        } else {
            ++s;
        }
    }
}

void admission_control::update_service(
    const std::string& service, service_state& s,
    const std::vector<const membership::service_demands*>* others,
    base::millis now) {
    const auto* published = fleet_.published_levels();
    const bool was_published =
        published != nullptr && published->count(service) != 0;
    if (others != nullptr) {
        s.gate.set_levels(compute_levels(service, *others, now), now);
    } else if (was_published) {
        s.gate.set_levels(published->at(service), now);
    } else {
        s.gate.adapt_alone(now);
    }
    log_shortage(service, s, now);
}

admission::share_levels admission_control::compute_levels(
    const std::string& service,
    const std::vector<const membership::service_demands*>& others,
    base::millis now) {
    std::vector<admission::node_demand> nodes;
    const auto own = services_.find(service);
    if (own != services_.end()) {
        nodes.push_back(own->second->gate.demand(now));
    }
    for (const auto* demands : others) {
        const auto found = demands->find(service);
        if (found != demands->end()) {
            nodes.push_back(found->second);
        }
    }
    const auto slots = static_cast<double>(
        state_.samplers.slot_count(samplers::service_name(service)));
    return rooms_[service].share(slots, nodes, state_.settings.reward_share,
                                 now);
}

void admission_control::publish_levels(
    const std::vector<const membership::service_demands*>& others,
    base::millis now) {
    published_.clear();
    for (const auto* demands : others) {
        for (const auto& row : *demands) {
            if (published_.count(row.first) == 0) {
                published_[row.first] = compute_levels(row.first, others, now);
            }
        }
    }
}

void admission_control::log_shortage(const std::string& service,
                                     service_state& s, base::millis now) {
    const bool is_short = s.gate.is_limiting();
    const auto share = is_short ? s.gate.rates() : admission::traffic_slots{};
    const bool has_changed = is_short &&
                             now - s.logged_at >= shortage_log_interval_ms &&
                             (differs(share.callers, s.logged_share.callers) ||
                              differs(share.rewards, s.logged_share.rewards));
    if (is_short == s.was_short && !has_changed) {
        return;
    }
    const auto* phase = !is_short ? "ended" : s.was_short ? "changed" : "began";
    const auto& levels = s.gate.levels();
    state_.log.write("shortage", {{"service", service},
                                  {"phase", phase},
                                  {"room", percent(levels.room)},
                                  {"load", percent(levels.load)},
                                  {"callers", percent(levels.demand.callers)},
                                  {"rewards", percent(levels.demand.rewards)},
                                  {"share_callers", percent(share.callers)},
                                  {"share_rewards", percent(share.rewards)},
                                  {"queued", static_cast<int>(s.gate.queued())},
                                  {"rejected", s.rejected}});
    s.was_short = is_short;
    s.logged_share = share;
    s.logged_at = now;
}

} // namespace hibiscus::entry
