#include "hibiscus/samplers/load_time_estimate.hpp"

#include <gtest/gtest.h>

namespace hibiscus::samplers {

namespace {

TEST(load_time_estimate_test, expects_what_loads_took) {
    // The weights are larger than elsewhere, and a load takes 2.7 s. Expected
    // to end after a second, ever more would be begun beside it.
    load_time_estimate time;
    for (int n = 0; n < 20; ++n) {
        time.add_sample(2700);
    }
    EXPECT_NEAR(static_cast<double>(time.expected_ms()), 2700, 30);
    EXPECT_GT(time.timeout_ms(), 10000);
}

TEST(load_time_estimate_test, absurd_loads_change_little) {
    // One load seems to have lasted an hour, and another no time at all.
    load_time_estimate time;
    time.add_sample(3600000);
    EXPECT_LT(time.expected_ms(), 2000);
    time.add_sample(0);
    time.add_sample(-5);
    EXPECT_GT(time.expected_ms(), 500);
    EXPECT_EQ(time.timeout_ms(), 6000);
}

} // namespace

} // namespace hibiscus::samplers
