#include "hibiscus/policy/swap_plan.hpp"

#include <gtest/gtest.h>

namespace hibiscus::policy {
namespace {

/// Returns how many engines in `outdated_engines` may swap now.
std::size_t count_turns(const swap_plan& plan,
                        const std::vector<swap_candidate>& outdated_engines) {
    std::size_t count = 0;
    for (const auto& c : outdated_engines) {
        count += is_swap_turn(plan, outdated_engines, c.engine) ? 1 : 0;
    }
    return count;
}

/// Returns ten engines whose loads increase with their numbers.
std::vector<swap_candidate> ten_engines() {
    std::vector<swap_candidate> engines;
    engines.reserve(10);
    for (int i = 0; i < 10; ++i) {
        engines.push_back({base::engine_id("e" + std::to_string(i)), i});
    }
    return engines;
}

TEST(swap_plan_test, a_share_of_the_least_loaded_engines_swaps_first) {
    const swap_plan plan{10, 0.34, 0, 6000};
    const auto engines = ten_engines();
    EXPECT_EQ(count_turns(plan, engines), 4U);
    EXPECT_TRUE(is_swap_turn(plan, engines, base::engine_id("e3")));
    EXPECT_FALSE(is_swap_turn(plan, engines, base::engine_id("e4")));
}

// The first engines fail to swap again and again. If the others waited for them
// forever, the whole pool would exceed the staleness bound.
TEST(swap_plan_test, failing_swaps_do_not_block_other_engines_for_long) {
    const auto engines = ten_engines();
    EXPECT_EQ(count_turns({10, 0.34, 6000, 6000}, engines), 8U);
    EXPECT_EQ(count_turns({10, 0.34, 12000, 6000}, engines), 10U);
}

TEST(swap_plan_test, a_small_share_still_lets_one_engine_swap) {
    EXPECT_EQ(count_turns({10, 0.01, 0, 6000}, ten_engines()), 1U);
}

} // namespace
} // namespace hibiscus::policy
