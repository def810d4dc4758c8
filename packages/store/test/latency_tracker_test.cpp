#include "hibiscus/store/latency_tracker.hpp"

#include <gtest/gtest.h>

namespace hibiscus::store {

namespace {

TEST(latency_tracker_test, begins_with_a_bound_that_fits_any_store) {
    EXPECT_EQ(latency_tracker().overdue_threshold_ms(), 400);
}

TEST(latency_tracker_test, a_fast_store_is_missed_soon) {
    latency_tracker t;
    for (int n = 0; n < 10; ++n) {
        t.record_latency(9);
    }
    EXPECT_EQ(t.overdue_threshold_ms(), 100);
}

// The store answers sixty times more slowly than usual. A node that went on to
// expect the usual time would take it for lost again and again.
TEST(latency_tracker_test, a_store_that_has_become_slow_is_not_taken_for_lost) {
    latency_tracker t;
    for (int n = 0; n < 100; ++n) {
        t.record_latency(9);
    }
    t.record_latency(250);
    EXPECT_GT(t.overdue_threshold_ms(), 2 * 250);
}

TEST(latency_tracker_test, a_slow_answer_is_forgotten) {
    latency_tracker t;
    t.record_latency(250);
    for (int n = 0; n < 100; ++n) {
        t.record_latency(9);
    }
    EXPECT_LE(t.overdue_threshold_ms(), 110);
}

TEST(latency_tracker_test, absurd_times_leave_it_within_its_bounds) {
    latency_tracker t;
    t.record_latency(-1000);
    EXPECT_EQ(t.overdue_threshold_ms(), 100);
    t.record_latency(1000000);
    EXPECT_EQ(t.overdue_threshold_ms(), 800);
}

} // namespace

} // namespace hibiscus::store
