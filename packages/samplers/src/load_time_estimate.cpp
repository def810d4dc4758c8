#include "hibiscus/samplers/load_time_estimate.hpp"

#include <algorithm>

namespace hibiscus::samplers {

namespace {

/// Expected time of a load before the first one has ended, in ms.
constexpr base::millis initial_load_ms = 1150;

/// Weight of the newest load in the running mean. Slower access to the weights
/// shows after three or four loads.
constexpr double newest_weight = 0.25;

/// Upper bound of a sample as a multiple of the mean before it. A load whose
/// server was unreachable for a minute says little about other loads.
constexpr double max_sample_factor = 3;

/// A load times out after this multiple of its expected time, but not before
/// min_timeout_ms.
constexpr int timeout_factor = 4;
constexpr base::millis min_timeout_ms = 6000;

} // namespace

base::millis load_time_estimate::expected_ms() const {
    return mean_ms_ > 0 ? static_cast<base::millis>(mean_ms_) : initial_load_ms;
}

base::millis load_time_estimate::timeout_ms() const {
    return std::max(min_timeout_ms, timeout_factor * expected_ms());
}

void load_time_estimate::add_sample(base::millis ms) {
    const auto previous_mean = static_cast<double>(expected_ms());
    const auto sample = std::clamp(static_cast<double>(ms), 1.0,
                                   max_sample_factor * previous_mean);
    mean_ms_ = previous_mean + newest_weight * (sample - previous_mean);
}

} // namespace hibiscus::samplers
