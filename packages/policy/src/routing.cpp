#include "hibiscus/policy/routing.hpp"

#include <algorithm>

namespace hibiscus::policy {

namespace {

constexpr int failures_until_ejected = 2;
constexpr base::millis ejection_ms = 1000;
constexpr double limit_decrease_factor = 0.8;
/// Minimum time between two decreases, in ms: rejections of requests that were
/// sent together count once.
constexpr base::millis limit_decrease_interval_ms = 100;

} // namespace

service_router::service_router(std::uint64_t seed) : random_(seed) {}

std::vector<std::size_t> service_router::available_instances(
    const std::vector<instance_candidate>& instances, int max_in_flight,
    const std::string& avoided_id, base::millis now) {
    std::vector<std::size_t> available;
    std::vector<std::size_t> ejected;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        const auto& state = instances_[instances[i].id];
        if (is_full(state, max_in_flight) || instances[i].id == avoided_id) {
            continue;
        }
        (state.ejected_until > now ? ejected : available).push_back(i);
    }
    // If most instances look unhealthy, the fault is more likely on this node's
    // side, and the few others would be overloaded. At least half of all
    // instances therefore stay in use.
    const std::size_t min_available = (instances.size() + 1) / 2;
    while (available.size() < min_available && !ejected.empty()) {
        available.push_back(ejected.back());
        ejected.pop_back();
    }
    if (available.empty() && !avoided_id.empty()) {
        return available_instances(instances, max_in_flight, "", now);
    }
    return available;
}

std::optional<std::size_t>
service_router::begin_request(const std::vector<instance_candidate>& instances,
                              int max_in_flight, const std::string& avoided_id,
                              base::millis now) {
    const auto available =
        available_instances(instances, max_in_flight, avoided_id, now);
    if (available.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index(0, available.size() - 1);
    const auto a = available[index(random_)];
    const auto b = available[index(random_)];
    const bool b_less_loaded =
        in_flight(instances[b].id) < in_flight(instances[a].id);
    const auto chosen = b_less_loaded ? b : a;
    ++instances_[instances[chosen].id].in_flight;
    return chosen;
}

bool service_router::is_full(const instance_state& state, int max_in_flight) {
    const bool exceeds_limit =
        state.learned_limit > 0.0 && state.in_flight + 1 > state.learned_limit;
    return state.in_flight >= max_in_flight ||
           (exceeds_limit && state.in_flight > 0);
}

/// Lowers the limit of an instance that rejected a request. The instance is
/// shared with other nodes, whose load this node does not see. Without the
/// limit, the requests above its capacity would be sent and rejected again and
/// again, which costs both sides time.
void service_router::lower_limit(instance_state& state, base::millis now) {
    if (state.learned_limit > 0.0 &&
        now - state.limit_lowered_at < limit_decrease_interval_ms) {
        return;
    }
    state.limit_lowered_at = now;
    state.learned_limit =
        std::max(1.0, (state.in_flight + 1) * limit_decrease_factor);
}

void service_router::end_request(const std::string& id, attempt_outcome outcome,
                                 base::millis now) {
    auto& state = instances_[id];
    state.in_flight = std::max(0, state.in_flight - 1);
    switch (outcome) {
    case attempt_outcome::answered:
        state.learned_limit +=
            state.learned_limit > 0.0 ? 1.0 / state.learned_limit : 0.0;
        state.consecutive_failures = 0;
        break;
    case attempt_outcome::rejected:
        lower_limit(state, now);
        state.consecutive_failures = 0;
        break;
    case attempt_outcome::no_response:
        ++state.consecutive_failures;
        break;
    case attempt_outcome::cancelled:
        break;
    }
    if (state.consecutive_failures >= failures_until_ejected) {
        state.ejected_until = now + ejection_ms;
    }
}

int service_router::in_flight(const std::string& id) const {
    const auto state = instances_.find(id);
    return state == instances_.end() ? 0 : state->second.in_flight;
}

retry_budget::retry_budget(double ratio, double reserve)
    : ratio_(ratio), reserve_(reserve), tokens_(reserve) {}

void retry_budget::deposit() {
    tokens_ = std::min(tokens_ + ratio_, reserve_);
}

bool retry_budget::withdraw() {
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace hibiscus::policy
