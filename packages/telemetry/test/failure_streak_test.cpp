#include "hibiscus/telemetry/failure_streak.hpp"

#include <gtest/gtest.h>

namespace hibiscus::telemetry {

namespace {

// Guards against a line for each of 40 tries a second.
TEST(failure_streak_test, a_lasting_failure_is_new_once) {
    failure_streak streak;
    int lines = 0;
    for (int n = 0; n < 400; ++n) {
        streak.update(n < 200 ? "503" : "unanswered");
        lines += streak.is_new() ? 1 : 0;
    }
    EXPECT_EQ(lines, 2);
    EXPECT_EQ(streak.update(""), 400);
    EXPECT_FALSE(streak.update(""));
}

TEST(failure_streak_test, a_single_failure_needs_no_second_line) {
    failure_streak streak;
    streak.update("end");
    EXPECT_TRUE(streak.is_new());
    EXPECT_FALSE(streak.update(""));
    streak.update("end");
    EXPECT_TRUE(streak.is_new());
}

} // namespace

} // namespace hibiscus::telemetry
