#include "forwarder_world.hpp"

#include <gtest/gtest.h>

namespace hibiscus::testing {

namespace {

class forwarder_test : public ::testing::Test {
protected:
    /// Returns what a caller gets if each send meets this conduct.
    std::shared_ptr<caller_result> ask(const route_shape& shape,
                                       std::vector<conduct> plan,
                                       std::size_t body_bytes = 20) {
        auto result = world_.ask(shape, 0, std::move(plan), body_bytes);
        EXPECT_EQ(world_.finish(), "");
        return result;
    }

    forwarder_world world_;
};

// Guards against a status that says "not run" to a request that has run.
TEST_F(forwarder_test, an_unmarked_refusal_of_what_may_not_repeat_is_unclear) {
    EXPECT_EQ(ask(once, {conduct::refuses_after_the_run})->status, 502);
    EXPECT_EQ(ask(again, {conduct::refuses_after_the_run})->status, 503);
}

// Guards against a failure of a lookup whose server dropped a kept connection.
TEST_F(forwarder_test, a_request_outlives_a_dropped_kept_connection) {
    ask(again_at_one, {conduct::drops_the_idle_connection});
    EXPECT_EQ(ask(again_at_one, {conduct::answers})->status, 200);
}

// Guards against a failure of the request behind an answer that came twice.
TEST_F(forwarder_test, a_request_outlives_a_late_answer_to_another_one) {
    ask(again_at_one, {conduct::sends_the_last_answer_again});
    EXPECT_EQ(ask(again_at_one, {conduct::answers})->status, 200);
}

// Guards against attempts that can't be told apart in the metrics.
TEST_F(forwarder_test, attempts_are_counted_by_outcome_and_connection) {
    ask(again_at_one, {conduct::drops_the_idle_connection});
    ask(again_at_one, {conduct::answers});
    ask(again_at_one, {conduct::resets_after_the_run});
    const auto metrics = world_.metrics();
    const auto expect = [&](const std::string& outcome,
                            const std::string& connection) {
        const auto row = "{kind=\"attempt\",outcome=\"" + outcome +
                         "\",reason=\"" + connection + "\"}";
        EXPECT_NE(metrics.find(row), std::string::npos) << row << metrics;
    };
    expect("answered", "opened");
    expect("stale", "reused");
    expect("broken", "opened");
}

// Guards against a request that is lost with its route or its server's entry.
TEST_F(forwarder_test, a_request_under_way_outlives_its_route_and_entry) {
    const auto asked = world_.ask(again, 0, {conduct::answers_slowly}, 20);
    const auto once_asked = world_.ask(once, 1, {conduct::answers_slowly}, 20);
    EXPECT_TRUE(world_.run_until_sent(2));
    world_.configure(1, 1);
    world_.configure(3, 1);
    for (int n = 0; n < services * servers_of_a_service; ++n) {
        world_.remove_server(n);
    }
    EXPECT_EQ(world_.finish(), "");
    EXPECT_EQ(asked->status, 200);
    EXPECT_EQ(once_asked->status, 200);
}

// Guards against work of servers for a caller that has left.
TEST_F(forwarder_test, nothing_is_sent_for_a_caller_that_has_left) {
    world_.forward_for_nobody();
    EXPECT_EQ(world_.finish(), "");
}

} // namespace

} // namespace hibiscus::testing
