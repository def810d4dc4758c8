#include "hibiscus/duties/duty_turn.hpp"

#include <gtest/gtest.h>

namespace hibiscus::duties {

namespace {

constexpr base::millis lease_ms = 3000;

TEST(duty_turn_test, only_the_holder_calls) {
    duty_turn turn("a", lease_ms, true, 0);
    EXPECT_FALSE(turn.token_to_call(0));
    turn.on_holder_changed("a", true, 1, 0);
    EXPECT_EQ(turn.token_to_call(0), fencing_token{1});
    turn.on_holder_changed("b", false, 2, 10);
    EXPECT_FALSE(turn.token_to_call(10));
}

// Guards against holders that act in the order A, B, A within the lease time.
TEST(duty_turn_test, a_node_that_holds_again_waits_for_its_own_last_call) {
    duty_turn turn("a", lease_ms, true, 0);
    turn.on_holder_changed("a", true, 1, 0);
    turn.on_called(4000);
    turn.on_holder_changed("b", false, 2, 4500);
    turn.on_holder_changed("a", true, 3, 5500);
    EXPECT_FALSE(turn.token_to_call(6999));
    EXPECT_EQ(turn.token_to_call(7000), fencing_token{3});
}

// Guards against the same order if the process of A was restarted in between.
TEST(duty_turn_test, a_restarted_node_waits_after_another_holder) {
    duty_turn turn("a", lease_ms, true, 1000);
    turn.on_holder_changed("b", false, 2, 1010);
    turn.on_holder_changed("a", true, 3, 2000);
    EXPECT_FALSE(turn.token_to_call(3999));
    EXPECT_TRUE(turn.token_to_call(4000));
}

TEST(duty_turn_test, without_token_checks_a_new_holder_waits) {
    duty_turn turn("a", lease_ms, false, 0);
    turn.on_holder_changed("b", false, 1, 0);
    turn.on_holder_changed("a", true, 2, 10000);
    EXPECT_FALSE(turn.token_to_call(12999));
    EXPECT_TRUE(turn.token_to_call(13000));
}

TEST(duty_turn_test, a_restart_of_the_holder_needs_no_wait) {
    duty_turn turn("a", lease_ms, false, 1000);
    turn.on_holder_changed("a", false, 1, 1000);
    turn.on_holder_changed("a", true, 2, 1100);
    EXPECT_TRUE(turn.token_to_call(1100));
}

// Guards against a former holder that goes on calling with a refused token.
TEST(duty_turn_test, a_refused_token_is_never_used_again) {
    duty_turn turn("a", lease_ms, true, 0);
    turn.on_holder_changed("a", true, 1, 0);
    turn.on_fenced(1);
    EXPECT_FALSE(turn.token_to_call(100000));
    turn.on_holder_changed("a", true, 5, 100000);
    EXPECT_TRUE(turn.token_to_call(100000));
}

} // namespace

} // namespace hibiscus::duties
