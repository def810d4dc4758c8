#include "hibiscus/samplers/start_limits.hpp"

#include <algorithm>

namespace hibiscus::samplers {

namespace {

constexpr base::millis second_ms = 1000;

/// Largest difference of the times that two requests need to a server, in ms.
constexpr base::millis max_way_difference_ms = 100;

constexpr base::millis window_ms = second_ms + max_way_difference_ms;

} // namespace

start_limits make_start_limits(const warm_up_tolerance& tolerance) {
    start_limits limits;
    limits.warming_up = std::max(1, static_cast<int>(tolerance.requests_per_s));
    if (tolerance.overage > 0) {
        const double most =
            tolerance.requests_per_s * tolerance.overage + tolerance.slack;
        limits.usual = std::max(limits.warming_up, static_cast<int>(most));
    }
    return limits;
}

void start_window::add(base::millis now) {
    while (!starts_.empty() && now - starts_.front() > window_ms) {
        starts_.pop_front();
    }
    starts_.push_back(now);
}

int start_window::count(base::millis now) const {
    const auto first =
        std::upper_bound(starts_.begin(), starts_.end(), now - window_ms - 1);
    return static_cast<int>(starts_.end() - first);
}

} // namespace hibiscus::samplers
