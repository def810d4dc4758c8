#include "hibiscus/policy/start_version.hpp"

#include <gtest/gtest.h>

namespace hibiscus::policy {
namespace {

TEST(start_version_test, within_bound_takes_the_oldest_version_of_the_bound) {
    EXPECT_EQ(oldest_start_version(within_bound{}, {5, 0, 1}), 4);
    EXPECT_EQ(oldest_start_version(within_bound{}, {5, 0, 0}), 5);
}

// A trainer opens a step while engines still swap to its newest version. The
// samples begin at the version before, the trainer publishes again, and the
// whole step is generated a second time: the trainer waits twice as long.
TEST(start_version_test, a_sample_outlives_the_next_publish) {
    const expect_publish policy;
    for (int bound = 1; bound < 4; ++bound) {
        const auto oldest = oldest_start_version(policy, {10, 0, bound});
        const wire::weight_version next = 11;
        EXPECT_GE(oldest, next - bound);
    }
}

TEST(start_version_test, a_bound_of_zero_begins_at_the_newest) {
    EXPECT_EQ(oldest_start_version(expect_publish{}, {5, 0, 0}), 5);
}

// The weight store is down, so that no engine gets the newest version. Samples
// inside the bound must go on, or the trainer gets none at all.
TEST(start_version_test, a_version_that_does_not_arrive_is_not_waited_for) {
    const expect_publish policy{2000};
    EXPECT_EQ(oldest_start_version(policy, {5, 2000, 1}), 5);
    EXPECT_EQ(oldest_start_version(policy, {5, 2001, 1}), 4);
}

TEST(start_version_test, an_engine_without_any_version_is_never_used) {
    EXPECT_EQ(oldest_start_version(within_bound{}, {1, 0, 3}), 1);
    EXPECT_EQ(oldest_start_version(expect_publish{}, {0, 0, 1}), 1);
}

} // namespace
} // namespace hibiscus::policy
