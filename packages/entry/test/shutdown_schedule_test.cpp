#include "shutdown_schedule.hpp"

#include <gtest/gtest.h>

namespace hibiscus::entry {

namespace {

constexpr base::millis signal_at = 50000;
constexpr base::millis grace_ms = 8000;

class shutdown_schedule_test : public testing::Test {
protected:
    shutdown_schedule schedule_{signal_at, grace_ms};
};

TEST_F(shutdown_schedule_test, the_servers_close_once_callers_know_others) {
    EXPECT_FALSE(schedule_.is_close_due(signal_at + 2999, true));
    EXPECT_TRUE(schedule_.is_close_due(signal_at + 3000, true));
    EXPECT_FALSE(schedule_.is_close_due(signal_at + 4799, false));
    EXPECT_TRUE(schedule_.is_close_due(signal_at + 4800, false));
}

TEST_F(shutdown_schedule_test, the_process_exits_before_it_is_killed) {
    EXPECT_EQ(schedule_.exit_at(), signal_at + 6800);
}

// Guards against late requests that are cut when the process exits.
TEST_F(shutdown_schedule_test, a_late_request_has_to_end_before_the_exit) {
    constexpr base::millis time_limit_ms = 5000;
    for (base::millis ms = 0; ms < 2500; ms += 100) {
        EXPECT_TRUE(
            schedule_.accepts(signal_at + ms, signal_at + ms + time_limit_ms))
            << ms;
    }
    for (base::millis ms = 2500; ms < grace_ms; ms += 100) {
        const auto now = signal_at + ms;
        EXPECT_FALSE(schedule_.accepts(now, now + time_limit_ms)) << ms;
        EXPECT_EQ(schedule_.accepts(now, now + 1000), ms < 5800) << ms;
    }
}

// Guards against a grace period that is shorter than the usual times.
TEST_F(shutdown_schedule_test, a_short_grace_period_is_kept) {
    const shutdown_schedule schedule(signal_at, 3000);
    EXPECT_TRUE(schedule.is_close_due(signal_at, false));
    EXPECT_EQ(schedule.exit_at(), signal_at + 1800);
    EXPECT_FALSE(schedule.accepts(signal_at, signal_at + 5000));
    EXPECT_TRUE(schedule.accepts(signal_at, signal_at + 1000));
}

} // namespace

} // namespace hibiscus::entry
