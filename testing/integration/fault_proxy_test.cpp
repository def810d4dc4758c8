#include "support/system.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace hibiscus::testing {

extern std::string programs; // NOLINT

namespace {

/// A plain service behind a fault proxy, without any node.
class fault_proxy_test : public ::testing::Test {
protected:
    fault_proxy_test() : system_(programs), caller_({{"127.0.0.1", 1}}) {
        system_.start_platform();
        service_ = system_.start_service("ledger", "z1");
        proxy_ = system_.put_proxy_before(service_);
    }

    /// Runs `key` through the proxy and returns whether an answer came.
    bool run(const std::string& key, base::millis timeout = 20000) {
        net::http_request request;
        request.method = "POST";
        request.target = "/v1/run/" + key;
        const auto result = caller_.send_to(proxy_, request, timeout);
        return std::holds_alternative<net::http_response>(result);
    }

    /// Returns how often the service ran `key`.
    int runs_of(const std::string& key) {
        const auto runs =
            nlohmann::json::parse(system_.ask(service_, "GET", "/v1/runs"));
        return runs.value(key, 0);
    }

    system system_;
    caller caller_;
    std::string service_;
    base::endpoint proxy_;
};

TEST_F(fault_proxy_test, passes_requests_and_answers) {
    EXPECT_TRUE(run("a"));
    EXPECT_TRUE(run("b"));
    EXPECT_EQ(runs_of("a"), 1);
}

TEST_F(fault_proxy_test, refuses_connections_until_the_next_rule) {
    system_.order(service_, "rule", R"({"refuse": true})");
    EXPECT_FALSE(run("a"));
    system_.order(service_, "rule");
    EXPECT_TRUE(run("a"));
    EXPECT_EQ(runs_of("a"), 1);
}

TEST_F(fault_proxy_test, drops_an_answer_after_the_effect) {
    system_.order(service_, "rule", R"({"to_client": 0, "times": 1})");
    EXPECT_FALSE(run("a"));
    EXPECT_EQ(runs_of("a"), 1);
    EXPECT_TRUE(run("b"));
}

TEST_F(fault_proxy_test, cuts_within_a_request) {
    system_.order(service_, "rule", R"({"to_target": 10, "times": 1})");
    EXPECT_FALSE(run("a"));
    EXPECT_EQ(runs_of("a"), 0);
}

// Something between the two ends loses track of a connection: it stays open
// and nothing passes. New connections work.
TEST_F(fault_proxy_test, frozen_connections_stay_silent_and_new_ones_work) {
    EXPECT_TRUE(run("a"));
    system_.order(service_, "freeze");
    EXPECT_FALSE(run("b", 300));
    EXPECT_TRUE(run("c"));
    EXPECT_EQ(runs_of("b"), 0);
}

} // namespace
} // namespace hibiscus::testing
