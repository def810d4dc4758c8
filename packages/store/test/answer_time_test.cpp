#include "hibiscus/store/answer_time.hpp"

#include <gtest/gtest.h>

namespace hibiscus::store {

namespace {

TEST(answer_time_test, begins_with_a_bound_that_fits_any_store) {
    EXPECT_EQ(answer_time().overdue_ms(), 400);
}

TEST(answer_time_test, a_fast_store_is_missed_soon) {
    answer_time t;
    for (int n = 0; n < 10; ++n) {
        t.took(9);
    }
    EXPECT_EQ(t.overdue_ms(), 100);
}

// The store answers sixty times more slowly than usual. A node that went on to
// expect the usual time would take it for lost again and again.
TEST(answer_time_test, a_store_that_has_become_slow_is_not_taken_for_lost) {
    answer_time t;
    for (int n = 0; n < 100; ++n) {
        t.took(9);
    }
    t.took(250);
    EXPECT_GT(t.overdue_ms(), 2 * 250);
}

TEST(answer_time_test, a_slow_answer_is_forgotten) {
    answer_time t;
    t.took(250);
    for (int n = 0; n < 100; ++n) {
        t.took(9);
    }
    EXPECT_LE(t.overdue_ms(), 110);
}

TEST(answer_time_test, absurd_times_leave_it_within_its_bounds) {
    answer_time t;
    t.took(-1000);
    EXPECT_EQ(t.overdue_ms(), 100);
    t.took(1000000);
    EXPECT_EQ(t.overdue_ms(), 800);
}

} // namespace

} // namespace hibiscus::store
