#include "hibiscus/store/latency_tracker.hpp"

#include <algorithm>

namespace hibiscus::store {

namespace {

/// What counts as overdue before any answer was seen, in ms.
constexpr base::millis initial_overdue_ms = 400;

/// So many times the longest of the newest answers are overdue: a store that
/// becomes a little slower is not taken for lost.
constexpr double overdue_factor = 8;

/// The bounds of what counts as overdue, in ms: a process is often held up for
/// some ten ms by others of its machine, and calls end after a second anyway.
constexpr base::millis min_overdue_ms = 100;
constexpr base::millis max_overdue_ms = 800;

/// The weight of the newest answer where it is shorter than the longest one:
/// one slow answer is forgotten after some fifty.
constexpr double peak_decay_weight = 0.05;

} // namespace

base::millis latency_tracker::overdue_threshold_ms() const {
    if (peak_latency_ms_ < 0) {
        return initial_overdue_ms;
    }
    return std::clamp(
        static_cast<base::millis>(overdue_factor * peak_latency_ms_),
        min_overdue_ms, max_overdue_ms);
}

void latency_tracker::record_latency(base::millis ms) {
    const auto seen = static_cast<double>(std::max<base::millis>(0, ms));
    const double faded =
        peak_latency_ms_ + peak_decay_weight * (seen - peak_latency_ms_);
    peak_latency_ms_ = peak_latency_ms_ < 0 ? seen : std::max(seen, faded);
}

} // namespace hibiscus::store
