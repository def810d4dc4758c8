#include "hibiscus/policy/routing.hpp"

#include <gtest/gtest.h>

namespace hibiscus::policy {
namespace {

/// Two instances of one service.
class routing_test : public ::testing::Test {
protected:
    /// Begins a request and returns the id of the chosen instance, or "".
    std::string begin_request(int max_in_flight,
                              const std::string& avoided_id = "") {
        const auto index =
            router_.begin_request(instances_, max_in_flight, avoided_id, now_);
        return index ? instances_[*index].id : "";
    }

    service_router router_{7};
    std::vector<instance_candidate> instances_{{"a", "", base::zone_id("z")},
                                               {"b", "", base::zone_id("z")}};
    base::millis now_ = 1000;
};

TEST_F(routing_test, stops_at_the_limit_of_each_instance) {
    EXPECT_NE(begin_request(1), "");
    EXPECT_NE(begin_request(1), "");
    EXPECT_EQ(begin_request(1), "");
}

TEST_F(routing_test, avoids_the_instance_of_the_last_attempt) {
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(begin_request(100, "a"), "b");
    }
}

// One of two instances stops responding. Each request sent there would wait for
// a connection until it times out, so the instance gets no requests for a
// while.
TEST_F(routing_test, an_unreachable_instance_is_ejected) {
    router_.end_request("a", attempt_outcome::no_response, now_);
    router_.end_request("a", attempt_outcome::no_response, now_);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(begin_request(100), "b");
    }
}

// An instance serves several nodes and rejects requests above its capacity. A
// node that kept sending up to its own limit would have most of its requests
// rejected.
TEST_F(routing_test, an_instance_that_rejects_requests_gets_fewer_at_a_time) {
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(begin_request(100, "b"), "a");
    }
    router_.end_request("a", attempt_outcome::rejected, now_);
    EXPECT_EQ(begin_request(100, "b"), "b");
    router_.end_request("a", attempt_outcome::answered, now_);
    router_.end_request("a", attempt_outcome::answered, now_);
    EXPECT_EQ(begin_request(100, "b"), "a");
}

TEST(retry_budget_test, allows_a_share_of_the_requests) {
    retry_budget budget(0.1, 1.0);
    EXPECT_TRUE(budget.withdraw());
    EXPECT_FALSE(budget.withdraw());
    for (int i = 0; i < 11; ++i) {
        budget.deposit();
    }
    EXPECT_TRUE(budget.withdraw());
}

} // namespace
} // namespace hibiscus::policy
