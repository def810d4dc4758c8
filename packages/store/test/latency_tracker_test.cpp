#include "hibiscus/store/latency_tracker.hpp"

#include <gtest/gtest.h>

namespace hibiscus::store {

namespace {

TEST(latency_tracker_test, initial_threshold_is_400_ms) {
    EXPECT_EQ(latency_tracker().overdue_threshold_ms(), 400);
}

TEST(latency_tracker_test, fast_store_gets_the_minimum_threshold) {
    latency_tracker tracker;
    for (int n = 0; n < 10; ++n) {
        tracker.record_latency(9);
    }
    EXPECT_EQ(tracker.overdue_threshold_ms(), 100);
}

// Guards against a node that keeps the old threshold when the store becomes
// sixty times slower, and so repeatedly treats it as unreachable.
TEST(latency_tracker_test, one_slow_response_raises_the_threshold) {
    latency_tracker tracker;
    for (int n = 0; n < 100; ++n) {
        tracker.record_latency(9);
    }
    tracker.record_latency(250);
    EXPECT_GT(tracker.overdue_threshold_ms(), 2 * 250);
}

TEST(latency_tracker_test, slow_response_decays) {
    latency_tracker tracker;
    tracker.record_latency(250);
    for (int n = 0; n < 100; ++n) {
        tracker.record_latency(9);
    }
    EXPECT_LE(tracker.overdue_threshold_ms(), 110);
}

TEST(latency_tracker_test, threshold_stays_within_its_bounds) {
    latency_tracker tracker;
    tracker.record_latency(-1000);
    EXPECT_EQ(tracker.overdue_threshold_ms(), 100);
    tracker.record_latency(1000000);
    EXPECT_EQ(tracker.overdue_threshold_ms(), 800);
}

} // namespace

} // namespace hibiscus::store
