#include "hibiscus/base/stall_detector.hpp"

#include <gtest/gtest.h>

namespace hibiscus::base {

namespace {

TEST(stall_detector_test, excludes_only_the_time_before_a_late_tick) {
    stall_detector detector(50, 100);
    detector.start(1000);
    EXPECT_EQ(detector.tick(1050), 0);
    EXPECT_EQ(detector.tick(1150), 0);
    EXPECT_FALSE(detector.is_stalled());
    EXPECT_EQ(detector.tick(1450), 300);
    EXPECT_TRUE(detector.is_stalled());
    EXPECT_EQ(detector.tick(1500), 0);
    EXPECT_FALSE(detector.is_stalled());
}

TEST(stall_detector_test, counts_time_in_a_thread_that_is_always_late) {
    stall_detector detector(50, 100);
    detector.start(0);
    EXPECT_EQ(detector.tick(300), 300);
    EXPECT_EQ(detector.tick(600), 250);
    EXPECT_FALSE(detector.is_stalled());
    EXPECT_EQ(detector.tick(900), 300);
}

} // namespace

} // namespace hibiscus::base
