#include "hibiscus/base/own_delay.hpp"

#include <gtest/gtest.h>

namespace hibiscus::base {

namespace {

TEST(own_delay_test, only_a_late_look_leaves_time_out) {
    own_delay delay(50, 100);
    delay.begin(1000);
    EXPECT_EQ(delay.look(1050), 0);
    EXPECT_EQ(delay.look(1150), 0);
    EXPECT_FALSE(delay.held_up());
    EXPECT_EQ(delay.look(1450), 300);
    EXPECT_TRUE(delay.held_up());
    EXPECT_EQ(delay.look(1500), 0);
    EXPECT_FALSE(delay.held_up());
}

TEST(own_delay_test, time_passes_for_a_thread_that_is_always_late) {
    own_delay delay(50, 100);
    delay.begin(0);
    EXPECT_EQ(delay.look(300), 300);
    EXPECT_EQ(delay.look(600), 250);
    EXPECT_FALSE(delay.held_up());
    EXPECT_EQ(delay.look(900), 300);
}

} // namespace

} // namespace hibiscus::base
