#include "hibiscus/samplers/load_time.hpp"

#include <algorithm>

namespace hibiscus::samplers {

namespace {

/// How long a load is expected to last before any was seen, in ms.
constexpr base::millis first_load_ms = 1150;

/// The weight of the newest load in the mean: that the way to the weights has
/// become slow shows after three or four.
constexpr double newest_share = 0.25;

/// One load counts for no more than so many times the mean before it: a server
/// that was out of reach for a minute says little of the others.
constexpr double most_rise = 3;

/// Loads that last so many times as long as usual are given up, but none
/// before this time, in ms.
constexpr int longest_factor = 4;
constexpr base::millis least_longest_ms = 6000;

} // namespace

base::millis load_time::expected_ms() const {
    return mean_ms_ > 0 ? static_cast<base::millis>(mean_ms_) : first_load_ms;
}

base::millis load_time::longest_ms() const {
    return std::max(least_longest_ms, longest_factor * expected_ms());
}

void load_time::took(base::millis ms) {
    const auto before = static_cast<double>(expected_ms());
    const auto seen =
        std::clamp(static_cast<double>(ms), 1.0, most_rise * before);
    mean_ms_ = before + newest_share * (seen - before);
}

} // namespace hibiscus::samplers
