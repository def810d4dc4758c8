#include "hibiscus/admission/limits.hpp"

#include <gtest/gtest.h>

namespace hibiscus::admission {
namespace {

TEST(latency_estimate_test, timeout_is_above_the_mean_of_steady_calls) {
    latency_estimate estimate;
    for (int i = 0; i < 100; ++i) {
        estimate.add_sample(400);
    }
    EXPECT_EQ(estimate.mean(), 400);
    EXPECT_GE(estimate.timeout(), 800);
    EXPECT_LT(estimate.timeout(), 1000);
}

TEST(latency_estimate_test, timeout_grows_with_the_deviation) {
    latency_estimate steady;
    latency_estimate uneven;
    for (int i = 0; i < 100; ++i) {
        steady.add_sample(200);
        uneven.add_sample(i % 2 == 0 ? 0 : 400);
    }
    EXPECT_GT(uneven.timeout(), steady.timeout());
}

TEST(latency_estimate_test, timeout_has_a_minimum) {
    latency_estimate estimate;
    estimate.add_sample(0);
    EXPECT_EQ(estimate.timeout(), 100);
}

TEST(throughput_meter_test, measures_a_steady_rate) {
    throughput_meter meter;
    for (base::millis now = 0; now < 10000; now += 10) {
        meter.record_completion(now);
    }
    EXPECT_NEAR(meter.rate_per_ms(10000), 0.1, 0.01);
}

TEST(throughput_meter_test, forgets_old_completions) {
    throughput_meter meter;
    meter.record_completion(100);
    EXPECT_EQ(meter.rate_per_ms(10000), 0.0);
}

TEST(admission_test, admits_a_request_if_the_queue_drains_in_time) {
    const auto decision = admit({9, 0.1, 50, 500});
    EXPECT_TRUE(decision.admitted);
    EXPECT_EQ(decision.wait, 100);
}

// The queue is so long that the request would be sent only after the caller's
// deadline. The caller is rejected at once and gets the time after which to
// retry.
TEST(admission_test, rejects_a_request_that_would_miss_its_deadline) {
    const auto decision = admit({99, 0.1, 50, 500});
    EXPECT_FALSE(decision.admitted);
    EXPECT_EQ(decision.wait, 1000);
}

// All instances hang: no request completes, and the wait can't be estimated.
TEST(admission_test, rejects_a_request_if_the_queue_does_not_drain) {
    const auto decision = admit({0, 0.0, 50, 500});
    EXPECT_FALSE(decision.admitted);
    EXPECT_EQ(decision.wait, 1000);
}

TEST(concurrency_limit_test, rejects_requests_at_the_limit_until_one_ends) {
    concurrency_limit limit(2);
    EXPECT_TRUE(limit.try_acquire());
    EXPECT_TRUE(limit.try_acquire());
    EXPECT_FALSE(limit.try_acquire());
    limit.release(100);
    EXPECT_TRUE(limit.try_acquire());
    EXPECT_EQ(limit.in_flight(), 2U);
}

TEST(concurrency_limit_test,
     retry_after_is_the_time_until_half_of_the_requests_end) {
    concurrency_limit limit(100);
    for (int i = 0; i < 100; ++i) {
        ASSERT_TRUE(limit.try_acquire());
    }
    for (base::millis now = 0; now < 2000; now += 10) {
        limit.release(now);
        ASSERT_TRUE(limit.try_acquire());
    }
    EXPECT_NEAR(static_cast<double>(limit.retry_after(2000)), 500, 50);
}

} // namespace
} // namespace hibiscus::admission
