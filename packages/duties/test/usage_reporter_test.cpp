#include "hibiscus/duties/usage_reporter.hpp"

#include <gtest/gtest.h>

namespace hibiscus::duties {

namespace {

/// Windows of 5 s whose reports are due 10 s after their end, and so are fixed
/// 5 s after it.
class usage_reporter_test : public testing::Test {
protected:
    void fix(window_number window, bool delivered = false) {
        reporter_.on_fixed({window, {{"one", window}}, delivered});
    }

    usage_reporter reporter_{reporter_times{}};
};

TEST_F(usage_reporter_test, windows_are_fixed_in_order_and_not_too_early) {
    fix(100);
    EXPECT_FALSE(reporter_.window_to_fix(514999));
    EXPECT_EQ(reporter_.window_to_fix(515000), 101);
    EXPECT_EQ(reporter_.window_to_fix(530000), 101);
    fix(101);
    EXPECT_EQ(reporter_.window_to_fix(530000), 102);
    EXPECT_TRUE(reporter_.is_fixed(101));
    EXPECT_FALSE(reporter_.is_fixed(102));
}

TEST_F(usage_reporter_test, without_reports_it_begins_a_few_windows_before) {
    EXPECT_EQ(reporter_.window_to_fix(1000000), 196);
}

TEST_F(usage_reporter_test, very_old_windows_are_skipped) {
    fix(100);
    EXPECT_EQ(reporter_.window_to_fix(5000000), 976);
}

TEST_F(usage_reporter_test, the_oldest_report_is_sent_one_call_at_a_time) {
    fix(101);
    fix(100);
    EXPECT_EQ(reporter_.report_to_send(512000, 0)->window, 100);
    EXPECT_FALSE(reporter_.report_to_send(512000, 0));
    reporter_.on_sent(100, duty_result::accepted, 0, 0);
    EXPECT_EQ(reporter_.report_to_send(512000, 0)->window, 101);
}

// Guards against reports that become late because overdue ones go first after
// an outage of the API.
TEST_F(usage_reporter_test, overdue_reports_wait_for_those_in_time) {
    fix(100);
    fix(101);
    fix(102);
    constexpr base::millis due_of_100 = 515000;
    EXPECT_EQ(reporter_.report_to_send(due_of_100 + 1, 0)->window, 101);
    reporter_.on_sent(101, duty_result::accepted, 0, 0);
    EXPECT_EQ(reporter_.report_to_send(due_of_100 + 1, 0)->window, 102);
    reporter_.on_sent(102, duty_result::accepted, 0, 0);
    EXPECT_EQ(reporter_.report_to_send(due_of_100 + 1, 0)->window, 100);
}

// Guards against a call in flight twice, and a flood of calls to an API that is
// down.
TEST_F(usage_reporter_test, failed_calls_are_repeated_with_growing_delays) {
    fix(100);
    base::millis now = 0;
    base::millis last_delay = 0;
    for (int n = 0; n < 12; ++n) {
        const auto failed_at = now;
        ASSERT_TRUE(reporter_.report_to_send(520000, now));
        reporter_.on_sent(100, duty_result::failed, now, 1);
        while (!reporter_.report_to_send(520000, now)) {
            ++now;
        }
        reporter_.on_sent(100, duty_result::fenced, now, 1);
        const auto delay = now - failed_at;
        EXPECT_LE(delay, 1500);
        last_delay = delay;
    }
    EXPECT_GE(last_delay, 100);
}

TEST_F(usage_reporter_test, reports_delivered_by_earlier_holders_are_not_sent) {
    fix(100, true);
    EXPECT_FALSE(reporter_.report_to_send(520000, 0));
    fix(101);
    reporter_.report_to_send(520000, 0);
    reporter_.on_sent(101, duty_result::accepted, 0, 0);
    const auto unrecorded = reporter_.unrecorded_deliveries();
    ASSERT_EQ(unrecorded.size(), 1U);
    EXPECT_EQ(unrecorded[0].window, 101);
    EXPECT_TRUE(unrecorded[0].delivered);
    reporter_.on_fixed(unrecorded[0]);
    EXPECT_TRUE(reporter_.unrecorded_deliveries().empty());
}

// Guards against a report of a workspace list that the receiver rejects for
// good: it must not block the reports after it.
TEST_F(usage_reporter_test, an_invalid_report_is_given_up) {
    fix(100);
    fix(101);
    reporter_.report_to_send(520000, 0);
    reporter_.on_sent(100, duty_result::invalid, 0, 0);
    EXPECT_EQ(reporter_.report_to_send(520000, 0)->window, 101);
}

TEST_F(usage_reporter_test, old_reports_expire_but_not_the_newest) {
    fix(100, true);
    fix(101, true);
    EXPECT_TRUE(reporter_.expired_windows(520000).empty());
    const std::vector<window_number> expected{100};
    EXPECT_EQ(reporter_.expired_windows(5000000), expected);
    reporter_.on_erased(100);
    EXPECT_TRUE(reporter_.expired_windows(5000000).empty());
}

} // namespace

} // namespace hibiscus::duties
