#include "forwarder_harness.hpp"

#include <gtest/gtest.h>

namespace hibiscus::testing {

namespace {

class forwarder_test : public ::testing::Test {
protected:
    /// Sends a request and returns its result; `plan` lists the behavior of the
    /// server at each attempt.
    std::shared_ptr<request_result>
    send_request(const test_route& route, std::vector<server_behavior> plan,
                 std::size_t body_bytes = 20) {
        auto result =
            harness_.send_request(route, 0, std::move(plan), body_bytes);
        EXPECT_EQ(harness_.finish_and_check(), "");
        return result;
    }

    forwarder_harness harness_;
};

// Guards against a status that means "not executed" for a request that was
// executed.
TEST_F(forwarder_test,
       unmarked_rejection_of_non_idempotent_request_returns_502) {
    EXPECT_EQ(
        send_request(non_idempotent_route, {server_behavior::rejects_after_run})
            ->status,
        502);
    EXPECT_EQ(
        send_request(idempotent_route, {server_behavior::rejects_after_run})
            ->status,
        503);
}

// Guards against a request that fails because the server has reset the idle
// connection on which it was sent.
TEST_F(forwarder_test, request_succeeds_after_idle_connection_reset) {
    send_request(single_attempt_route,
                 {server_behavior::resets_idle_connection});
    EXPECT_EQ(
        send_request(single_attempt_route, {server_behavior::responds})->status,
        200);
}

// Guards against a request that fails because the previous response on the
// connection arrived twice.
TEST_F(forwarder_test, request_succeeds_after_duplicate_response) {
    send_request(single_attempt_route,
                 {server_behavior::repeats_response_before_next});
    EXPECT_EQ(
        send_request(single_attempt_route, {server_behavior::responds})->status,
        200);
}

// Guards against one end of a server that counts once for each idle connection.
TEST_F(forwarder_test, a_reward_call_loses_a_server_once) {
    for (const int other : {2, 4}) {
        harness_.remove_server(other);
    }
    for (const int caller : {0, 1}) {
        harness_.send_request(idempotent_route, caller,
                              {server_behavior::resets_idle_connection}, 20);
    }
    EXPECT_EQ(harness_.finish_and_check(), "");
    EXPECT_EQ(harness_.count_losses_of_reward_call(
                  0, {server_behavior::responds, server_behavior::responds,
                      server_behavior::responds}),
              1);
}

// Guards against metrics that do not tell the outcomes of attempts apart.
TEST_F(forwarder_test, attempts_are_counted_by_outcome_and_connection) {
    send_request(single_attempt_route,
                 {server_behavior::resets_idle_connection});
    send_request(single_attempt_route, {server_behavior::responds});
    send_request(single_attempt_route, {server_behavior::resets_after_run});
    const auto metrics = harness_.metrics();
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

// Guards against requests that are lost when their route or the registration of
// their server is removed.
TEST_F(forwarder_test, in_flight_requests_survive_removal_of_route_and_server) {
    const auto idempotent_result = harness_.send_request(
        idempotent_route, 0, {server_behavior::responds_slowly}, 20);
    const auto non_idempotent_result = harness_.send_request(
        non_idempotent_route, 1, {server_behavior::responds_slowly}, 20);
    EXPECT_TRUE(harness_.run_until_sends(2));
    harness_.configure(1, 1);
    harness_.configure(3, 1);
    for (int n = 0; n < service_count * servers_per_service; ++n) {
        harness_.remove_server(n);
    }
    EXPECT_EQ(harness_.finish_and_check(), "");
    EXPECT_EQ(idempotent_result->status, 200);
    EXPECT_EQ(non_idempotent_result->status, 200);
}

// Guards against requests that are sent to servers after the caller has
// disconnected.
TEST_F(forwarder_test, nothing_is_sent_for_a_disconnected_caller) {
    harness_.forward_for_disconnected_caller();
    EXPECT_EQ(harness_.finish_and_check(), "");
}

} // namespace

} // namespace hibiscus::testing
