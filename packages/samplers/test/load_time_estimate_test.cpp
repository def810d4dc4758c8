#include "hibiscus/samplers/load_time_estimate.hpp"

#include <gtest/gtest.h>

namespace hibiscus::samplers {

namespace {

// Loads take 2.7 s because the weights are larger. If they were expected to end
// after a second, more and more loads would start meanwhile.
TEST(load_time_estimate_test, expected_time_follows_the_loads) {
    load_time_estimate estimate;
    for (int n = 0; n < 20; ++n) {
        estimate.add_sample(2700);
    }
    EXPECT_NEAR(static_cast<double>(estimate.expected_ms()), 2700, 30);
    EXPECT_GT(estimate.timeout_ms(), 10000);
}

// One load appears to take an hour, and another no time at all.
TEST(load_time_estimate_test, outliers_change_the_estimate_little) {
    load_time_estimate estimate;
    estimate.add_sample(3600000);
    EXPECT_LT(estimate.expected_ms(), 2000);
    estimate.add_sample(0);
    estimate.add_sample(-5);
    EXPECT_GT(estimate.expected_ms(), 500);
    EXPECT_EQ(estimate.timeout_ms(), 6000);
}

} // namespace

} // namespace hibiscus::samplers
