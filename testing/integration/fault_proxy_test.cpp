#include "support/test_cluster.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace hibiscus::testing {

extern std::string build_dir; // NOLINT

namespace {

/// A plain service behind a fault proxy; no nodes run.
class fault_proxy_test : public ::testing::Test {
protected:
    fault_proxy_test() : cluster_(build_dir), client_({{"127.0.0.1", 1}}) {
        cluster_.start_platform();
        service_ = cluster_.start_service("ledger", "z1");
        proxy_ = cluster_.insert_proxy(service_);
    }

    /// Sends a request for `key` through the proxy and returns whether a
    /// response arrived.
    bool run_through_proxy(const std::string& key,
                           base::millis timeout = 20000) {
        net::http_request request;
        request.method = "POST";
        request.target = "/v1/run/" + key;
        const auto result = client_.send_to(proxy_, request, timeout);
        return std::holds_alternative<net::http_response>(result);
    }

    /// Returns how many times the service ran `key`.
    int run_count(const std::string& key) {
        const auto runs = nlohmann::json::parse(
            cluster_.send_request(service_, "GET", "/v1/runs"));
        return runs.value(key, 0);
    }

    test_cluster cluster_;
    entry_client client_;
    std::string service_;
    base::endpoint proxy_;
};

TEST_F(fault_proxy_test, forwards_requests_and_responses) {
    EXPECT_TRUE(run_through_proxy("a"));
    EXPECT_TRUE(run_through_proxy("b"));
    EXPECT_EQ(run_count("a"), 1);
}

TEST_F(fault_proxy_test, refuses_connections_until_the_next_rule) {
    cluster_.control_proxy(service_, "rule", R"({"refuse": true})");
    EXPECT_FALSE(run_through_proxy("a"));
    cluster_.control_proxy(service_, "rule");
    EXPECT_TRUE(run_through_proxy("a"));
    EXPECT_EQ(run_count("a"), 1);
}

TEST_F(fault_proxy_test, drops_a_response_after_its_request_ran) {
    cluster_.control_proxy(service_, "rule", R"({"to_client": 0, "times": 1})");
    EXPECT_FALSE(run_through_proxy("a"));
    EXPECT_EQ(run_count("a"), 1);
    EXPECT_TRUE(run_through_proxy("b"));
}

TEST_F(fault_proxy_test, closes_a_connection_within_a_request) {
    cluster_.control_proxy(service_, "rule",
                           R"({"to_target": 10, "times": 1})");
    EXPECT_FALSE(run_through_proxy("a"));
    EXPECT_EQ(run_count("a"), 0);
}

// A network device loses track of a connection: the connection stays open but
// carries no more bytes. New connections work.
TEST_F(fault_proxy_test, frozen_connections_stay_silent_and_new_ones_work) {
    EXPECT_TRUE(run_through_proxy("a"));
    cluster_.control_proxy(service_, "freeze");
    EXPECT_FALSE(run_through_proxy("b", 300));
    EXPECT_TRUE(run_through_proxy("c"));
    EXPECT_EQ(run_count("b"), 0);
}

} // namespace
} // namespace hibiscus::testing
