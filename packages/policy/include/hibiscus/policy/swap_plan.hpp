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

/// Parameters and state of the rollout of a version in a pool. To swap is to
/// put a new version into service at an engine.
struct swap_plan {
    /// Number of reachable engines of the pool.
    std::size_t reachable_engines = 0;
    /// Share of these engines that may swap at a time.
    double max_swap_share = 1.0;
    /// Time since the version became known, in ms.
    base::millis version_age = 0;
    /// After each interval, in ms, another share of the engines may swap, even
    /// if earlier swaps have failed.
    base::millis wave_interval = 6000;
};

/// Returns true if `engine` may swap now. Of the engines in `outdated_engines`,
/// the least loaded swap first; an engine that is not among them may always
/// swap. Each home node decides for its own engines. Their views of the loads
/// differ slightly, so max_swap_share is kept only approximately.
bool is_swap_turn(const swap_plan& plan,
                  const std::vector<swap_candidate>& outdated_engines,
                  const base::engine_id& engine);

} // namespace hibiscus::policy
