#include "hibiscus/samplers/load_time.hpp"

#include <gtest/gtest.h>

namespace hibiscus::samplers {

namespace {

TEST(load_time_test, expects_what_loads_took) {
    // The weights are larger than elsewhere, and a load takes 2.7 s. Expected
    // to end after a second, ever more would be begun beside it.
    load_time time;
    for (int n = 0; n < 20; ++n) {
        time.took(2700);
    }
    EXPECT_NEAR(static_cast<double>(time.expected_ms()), 2700, 30);
    EXPECT_GT(time.longest_ms(), 10000);
}

TEST(load_time_test, absurd_loads_change_little) {
    // One load seems to have lasted an hour, and another no time at all.
    load_time time;
    time.took(3600000);
    EXPECT_LT(time.expected_ms(), 2000);
    time.took(0);
    time.took(-5);
    EXPECT_GT(time.expected_ms(), 500);
    EXPECT_EQ(time.longest_ms(), 6000);
}

} // namespace

} // namespace hibiscus::samplers
