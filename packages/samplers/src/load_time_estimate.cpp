#include "hibiscus/samplers/load_time_estimate.hpp"

#include <algorithm>

namespace hibiscus::samplers {

namespace {

/// How long a load is expected to last before any was seen, in ms.
constexpr base::millis initial_load_ms = 1150;

/// The weight of the newest load in the mean: that the way to the weights has
/// become slow shows after three or four.
constexpr double newest_weight = 0.25;

/// One load counts for no more than so many times the mean before it: a server
/// that was out of reach for a minute says little of the others.
constexpr double max_sample_factor = 3;

/// Loads that last so many times as long as usual are given up, but none
/// before this time, in ms.
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
    const auto before = static_cast<double>(expected_ms());
    const auto seen =
        std::clamp(static_cast<double>(ms), 1.0, max_sample_factor * before);
    mean_ms_ = before + newest_weight * (seen - before);
}

} // namespace hibiscus::samplers
