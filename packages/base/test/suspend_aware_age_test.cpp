#include "hibiscus/base/suspend_aware_age.hpp"

#include <gtest/gtest.h>

namespace hibiscus::base {

namespace {

TEST(suspend_aware_age_test, without_a_suspend_it_is_the_monotonic_age) {
    suspend_aware_age age;
    EXPECT_EQ(age.update(100, 150, 1150), 50);
    EXPECT_EQ(age.update(100, 250, 1251), 150);
}

// Guards against a view from before a suspend that counts as current.
TEST(suspend_aware_age_test, a_suspend_counts_for_moments_before_it) {
    suspend_aware_age age;
    age.update(100, 150, 1150);
    EXPECT_EQ(age.update(100, 160, 9160), 60 + 8000);
    EXPECT_EQ(age.update(159, 170, 9170), 11 + 8000);
    EXPECT_EQ(age.update(165, 175, 9175), 10);
}

TEST(suspend_aware_age_test, suspends_add_up) {
    suspend_aware_age age;
    age.update(100, 150, 1150);
    age.update(100, 160, 9160);
    EXPECT_EQ(age.update(100, 170, 9270), 70 + 8000 + 100);
    EXPECT_EQ(age.update(171, 180, 10280), 9 + 1000);
}

} // namespace

} // namespace hibiscus::base
