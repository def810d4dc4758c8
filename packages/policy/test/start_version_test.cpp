#include "hibiscus/policy/start_version.hpp"

#include <gtest/gtest.h>

namespace hibiscus::policy {
namespace {

TEST(start_version_test,
     within_bound_starts_at_the_oldest_version_in_the_bound) {
    EXPECT_EQ(oldest_start_version(within_bound{}, {5, 0, 1}), 4);
    EXPECT_EQ(oldest_start_version(within_bound{}, {5, 0, 0}), 5);
}

// A trainer opens a step while engines still swap to its newest version. If the
// samples started at the version before, the next publish would make the whole
// step stale; it would be generated again and take twice as long.
TEST(start_version_test, a_sample_stays_in_the_bound_after_the_next_publish) {
    const expect_publish policy;
    for (int bound = 1; bound < 4; ++bound) {
        const auto oldest = oldest_start_version(policy, {10, 0, bound});
        const wire::weight_version next_version = 11;
        EXPECT_GE(oldest, next_version - bound);
    }
}

TEST(start_version_test, a_bound_of_zero_starts_at_the_newest_version) {
    EXPECT_EQ(oldest_start_version(expect_publish{}, {5, 0, 0}), 5);
}

// The weight store is down, so no engine gets the newest version. Samples
// within the bound must continue, or the trainer would get none.
TEST(start_version_test,
     a_version_that_is_not_loaded_in_time_is_not_waited_for) {
    const expect_publish policy{2000};
    EXPECT_EQ(oldest_start_version(policy, {5, 2000, 1}), 5);
    EXPECT_EQ(oldest_start_version(policy, {5, 2001, 1}), 4);
}

TEST(start_version_test, the_oldest_start_version_is_at_least_one) {
    EXPECT_EQ(oldest_start_version(within_bound{}, {1, 0, 3}), 1);
    EXPECT_EQ(oldest_start_version(expect_publish{}, {0, 0, 1}), 1);
}

} // namespace
} // namespace hibiscus::policy
