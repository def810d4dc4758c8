#include "hibiscus/store/latency_tracker.hpp"

#include <algorithm>

namespace hibiscus::store {

namespace {

/// Threshold before the first response, in ms.
constexpr base::millis initial_threshold_ms = 400;

/// Threshold as a multiple of the peak latency; keeps a store that becomes a
/// little slower from counting as unreachable.
constexpr double threshold_factor = 8;

/// Lower bound: other processes of the machine often stall this one for tens of
/// ms.
constexpr base::millis min_threshold_ms = 100;
/// Upper bound: calls time out after a second anyway.
constexpr base::millis max_threshold_ms = 800;

/// Weight of the latest latency when it is below the peak; the effect of one
/// slow response is gone after about fifty calls.
constexpr double peak_decay_weight = 0.05;

} // namespace

base::millis latency_tracker::overdue_threshold_ms() const {
    if (peak_latency_ms_ < 0) {
        return initial_threshold_ms;
    }
    return std::clamp(
        static_cast<base::millis>(threshold_factor * peak_latency_ms_),
        min_threshold_ms, max_threshold_ms);
}

void latency_tracker::record_latency(base::millis ms) {
    const auto latency_ms = static_cast<double>(std::max<base::millis>(0, ms));
    const double decayed_ms =
        peak_latency_ms_ + peak_decay_weight * (latency_ms - peak_latency_ms_);
    peak_latency_ms_ =
        peak_latency_ms_ < 0 ? latency_ms : std::max(latency_ms, decayed_ms);
}

} // namespace hibiscus::store
