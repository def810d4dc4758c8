#include "hibiscus/base/stall_detector.hpp"

#include <gtest/gtest.h>

namespace hibiscus::base {

namespace {

TEST(stall_detector_test, only_a_late_look_leaves_time_out) {
    stall_detector delay(50, 100);
    delay.start(1000);
    EXPECT_EQ(delay.tick(1050), 0);
    EXPECT_EQ(delay.tick(1150), 0);
    EXPECT_FALSE(delay.is_stalled());
    EXPECT_EQ(delay.tick(1450), 300);
    EXPECT_TRUE(delay.is_stalled());
    EXPECT_EQ(delay.tick(1500), 0);
    EXPECT_FALSE(delay.is_stalled());
}

TEST(stall_detector_test, time_passes_for_a_thread_that_is_always_late) {
    stall_detector delay(50, 100);
    delay.start(0);
    EXPECT_EQ(delay.tick(300), 300);
    EXPECT_EQ(delay.tick(600), 250);
    EXPECT_FALSE(delay.is_stalled());
    EXPECT_EQ(delay.tick(900), 300);
}

} // namespace

} // namespace hibiscus::base
