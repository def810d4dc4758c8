#include "hibiscus/policy/swap_plan.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscus::policy {

bool is_swap_turn(const swap_plan& plan,
                  const std::vector<swap_candidate>& outdated_engines,
                  const base::engine_id& engine) {
    const auto own = std::find_if(
        outdated_engines.begin(), outdated_engines.end(),
        [&](const swap_candidate& c) { return c.engine == engine; });
    if (own == outdated_engines.end()) {
        return true;
    }
    const auto engines_before =
        std::count_if(outdated_engines.begin(), outdated_engines.end(),
                      [&](const swap_candidate& c) {
                          return std::make_pair(c.streams, c.engine) <
                                 std::make_pair(own->streams, own->engine);
                      });
    const auto wave_size =
        std::max(1.0, std::ceil(static_cast<double>(plan.reachable_engines) *
                                plan.max_swap_share));
    const base::millis waves = 1 + plan.version_age / plan.wave_interval;
    return static_cast<double>(engines_before) <
           wave_size * static_cast<double>(waves);
}

} // namespace hibiscus::policy
