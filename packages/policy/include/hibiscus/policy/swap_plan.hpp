#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/ids.hpp"

#include <cstddef>
#include <vector>

namespace hibiscus::policy {

/// An engine of a pool that serves an older version than the newest.
struct swap_candidate {
    base::engine_id engine;
    int streams = 0;
};

/// How a version is rolled out in a pool.
struct swap_plan {
    /// The engines of the pool that can be reached.
    std::size_t reachable_engines = 0;
    /// The share of them that may swap at a time.
    double max_swap_share = 1.0;
    /// How long the version is known.
    base::millis version_age = 0;
    /// After each time of this length one more share may swap, whatever became
    /// of the engines before.
    base::millis wave_interval = 6000;
};

/// Returns true if it is the turn of `engine`, one of `behind`: the least
/// loaded swap first. Each home decides for its own engines; their views of
/// the loads differ a little, so the share is held approximately.
bool is_swap_turn(const swap_plan& plan,
                  const std::vector<swap_candidate>& behind,
                  const base::engine_id& engine);

} // namespace hibiscus::policy
