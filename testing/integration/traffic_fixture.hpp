#pragma once

#include "support/test_cluster.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace hibiscus::testing {

/// The build directory, from the flag --programs.
extern std::string build_dir; // NOLINT

/// The document of the traffic tests. All services are plain services.
constexpr const char* traffic_document = R"({"schema": 1,
    "owners": [{"name": "campus"}],
    "pools": [{"name": "tagging", "owner": "campus"}],
    "trainers": [{"name": "tagger", "owner": "campus", "pool": "tagging",
                  "staleness_bound": 1}],
    "services": [{"name": "ledger", "owner": "campus"},
                 {"name": "hedged", "owner": "campus", "hedge": true}],
    "limits": {"entries_ttl_ms": 500, "pull_wait_ms": 1000}})";

/// Fixture of the traffic tests: a cluster, a client that sends requests to a
/// given node, and access to the run counts of services. The tests call an
/// idempotent request a lookup and a non-idempotent one a sync or a charge.
class traffic_test : public ::testing::Test {
protected:
    traffic_test() : cluster_(build_dir), client_({{"127.0.0.1", 1}}) {}

    /// Starts `count` nodes, each in its own zone.
    void start_nodes(int count) {
        for (int i = 1; i <= count; ++i) {
            const auto number = std::to_string(i);
            cluster_.start_node("127.0.0." + number, "z" + number);
        }
    }

    /// Publishes the document and waits until every node has adopted it and can
    /// reach an instance of the ledger service.
    void publish_and_wait_until_ready() {
        ASSERT_EQ(cluster_.publish_document(traffic_document), 0);
        ASSERT_TRUE(cluster_.wait_until_ready());
        for (std::size_t i = 0; i < cluster_.nodes().size(); ++i) {
            ASSERT_TRUE(eventually([&] {
                const auto response =
                    send_request(i, make_request("warm-up", true));
                return response && response->result == wire::outcome::completed;
            }));
        }
    }

    /// Returns a request to the ledger service.
    static wire::service_request make_request(const std::string& id,
                                              bool idempotent,
                                              base::millis deadline_ms = 3000) {
        return {base::request_id(id), base::service_id("ledger"), idempotent,
                deadline_ms,          base::clock().wall_time(),  "body"};
    }

    /// Sends `body` to the node with the index `node`.
    net::http_result send(std::size_t node, const std::string& method,
                          const std::string& target, std::string body,
                          base::millis timeout = 20000) {
        net::http_request request;
        request.method = method;
        request.target = target;
        request.body = std::move(body);
        return client_.send_to(cluster_.nodes()[node].caller_address,
                               std::move(request), timeout);
    }

    /// Sends a request to a node and returns its response, if any.
    std::optional<wire::service_response>
    send_request(std::size_t node, const wire::service_request& request) {
        return entry_client::decode_response<wire::service_response>(
            send(node, "POST", "/v1/requests", wire::to_json(request)));
    }

    /// Returns how many times the instance `service` ran `key`.
    int run_count(const std::string& service, const std::string& key) {
        const auto runs = nlohmann::json::parse(
            cluster_.send_request(service, "GET", "/v1/runs"), nullptr, false);
        return runs.is_object() ? runs.value(key, 0) : -1;
    }

    test_cluster cluster_;
    entry_client client_;
};

} // namespace hibiscus::testing
