#include "hibiscus/base/wall_clock_guard.hpp"

#include <gtest/gtest.h>

namespace hibiscus::base {

namespace {

constexpr millis offset = 1000000;

class wall_clock_guard_test : public testing::Test {
protected:
    /// Advances the boot clock and returns by how much the estimate is wrong if
    /// the time of day is wrong by `error`.
    millis error_after(millis ms, millis error) {
        boot_ += ms;
        return guard_.true_time({boot_ + offset + error, boot_}) - correct();
    }

    millis correct() const { return boot_ + offset; }

    /// Delivers messages of a peer whose estimate is wrong by `error`.
    void hear(const char* peer, millis error, int messages = 3) {
        for (int n = 0; n < messages; ++n) {
            guard_.on_peer_time(peer, correct() + error, {correct(), boot_});
        }
    }

    wall_clock_guard guard_;
    millis boot_ = 5000;
};

TEST_F(wall_clock_guard_test, follows_a_slow_drift) {
    for (millis error = 0; error < 1000; error += 10) {
        EXPECT_EQ(error_after(100, error), error);
    }
}

// Guards against counts that move to another window when the time of day is
// stepped.
TEST_F(wall_clock_guard_test, ignores_a_step_and_its_return) {
    error_after(100, 0);
    for (const millis error : {4000, 4000, -6000, -6000, 0, 0}) {
        EXPECT_EQ(error_after(100, error), 0) << error;
    }
    EXPECT_EQ(guard_.ignored_steps(), 3);
    EXPECT_EQ(error_after(100, 50), 50);
}

TEST_F(wall_clock_guard_test, a_suspend_is_no_step) {
    error_after(100, 0);
    EXPECT_EQ(error_after(60000, 0), 0);
    EXPECT_EQ(guard_.ignored_steps(), 0);
}

// Guards against a process that starts while the time of day is wrong.
TEST_F(wall_clock_guard_test, most_peers_outvote_a_clock_that_began_wrong) {
    error_after(100, 8000);
    for (const char* peer : {"a", "b", "c"}) {
        hear(peer, -400);
    }
    hear("d", 8000);
    EXPECT_EQ(error_after(100, 8000), -400);
}

TEST_F(wall_clock_guard_test, late_messages_of_peers_change_nothing) {
    error_after(100, 0);
    for (const char* peer : {"a", "b", "c", "d"}) {
        hear(peer, -60000, 1);
        hear(peer, -1000);
    }
    EXPECT_EQ(error_after(100, 0), 0);
}

// Guards against records that peers left behind long ago.
TEST_F(wall_clock_guard_test, single_messages_of_peers_change_nothing) {
    error_after(100, 0);
    for (const char* peer : {"a", "b", "c", "d"}) {
        hear(peer, -60000, 1);
    }
    EXPECT_EQ(error_after(100, 0), 0);
}

} // namespace

} // namespace hibiscus::base
