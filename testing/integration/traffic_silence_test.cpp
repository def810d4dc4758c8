#include "integration/traffic_fixture.hpp"

namespace hibiscus::testing {
namespace {

/// Each test puts some connections behind a fault proxy and silences them.
class traffic_silence_test : public traffic_test {};

// The network loses track of every open connection between an entry and a
// service. A lookup must not wait on a silent connection until its deadline.
TEST_F(traffic_silence_test, a_lookup_survives_silent_idle_connections) {
    cluster_.start_platform();
    start_nodes(1);
    const auto service = cluster_.start_service("ledger", "z1");
    cluster_.insert_proxy(service);
    publish_and_wait_until_ready();
    for (int round = 0; round < 3; ++round) {
        for (int i = 0; i < 3; ++i) {
            const auto key = std::to_string(round) + "-" + std::to_string(i);
            const auto response =
                send_request(0, make_request("lookup-" + key, true, 10000));
            ASSERT_TRUE(response.has_value());
            EXPECT_EQ(response->result, wire::outcome::completed) << key;
        }
        cluster_.control_proxy(service, "freeze");
    }
}

// As above for a sync, which is never sent on an idle connection.
TEST_F(traffic_silence_test, a_sync_survives_silent_idle_connections) {
    cluster_.start_platform();
    start_nodes(1);
    const auto service = cluster_.start_service("ledger", "z1");
    cluster_.insert_proxy(service);
    publish_and_wait_until_ready();
    cluster_.control_proxy(service, "freeze");
    const auto response = send_request(0, make_request("sync-1", false, 10000));
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->result, wire::outcome::completed);
    EXPECT_EQ(run_count(service, "sync-1"), 1);
}

// One of two instances accepts connections and requests but never responds.
// Lookups must be retried on the other instance within the retry budget.
TEST_F(traffic_silence_test, a_lookup_moves_on_from_a_silent_instance) {
    cluster_.start_platform();
    start_nodes(1);
    const auto silent_service = cluster_.start_service("ledger", "z1");
    cluster_.start_service("ledger", "z1");
    cluster_.insert_proxy(silent_service);
    publish_and_wait_until_ready();
    cluster_.control_proxy(silent_service, "rule",
                           R"({"to_client": 0, "action": "freeze"})");
    cluster_.control_proxy(silent_service, "freeze");
    for (int i = 0; i < 10; ++i) {
        const auto response = send_request(
            0, make_request("lookup-" + std::to_string(i), true, 10000));
        ASSERT_TRUE(response.has_value());
        EXPECT_EQ(response->result, wire::outcome::completed) << i;
    }
}

// The connections between the nodes go silent. Syncs whose key has another home
// node are forwarded over them; they must get new connections, and no key may
// run twice.
TEST_F(traffic_silence_test, syncs_survive_silent_connections_between_nodes) {
    cluster_.start_platform();
    start_nodes(3);
    const auto service = cluster_.start_service("ledger", "z1");
    for (const char* node : {"n1", "n2", "n3"}) {
        cluster_.insert_proxy(node);
    }
    publish_and_wait_until_ready();
    for (const char* node : {"n1", "n2", "n3"}) {
        cluster_.control_proxy(node, "freeze");
    }
    for (int i = 0; i < 12; ++i) {
        const auto key = "sync-" + std::to_string(i);
        std::optional<wire::service_response> response;
        EXPECT_TRUE(eventually([&] {
            response = send_request(0, make_request(key, false, 10000));
            return response && response->result == wire::outcome::completed;
        })) << key;
        EXPECT_EQ(run_count(service, key), 1) << key;
    }
}

// The long poll for the next log record goes silent. A document that is
// published afterwards must still reach the node.
TEST_F(traffic_silence_test, a_document_arrives_after_the_log_went_silent) {
    cluster_.start_platform();
    cluster_.insert_proxy("log");
    start_nodes(1);
    cluster_.start_service("ledger", "z1");
    publish_and_wait_until_ready();
    cluster_.control_proxy("log", "freeze");
    ASSERT_EQ(cluster_.publish_document(traffic_document), 0);
    EXPECT_TRUE(eventually([&] {
        const auto result = send(0, "GET", "/v1/status", "");
        const auto* response = std::get_if<net::http_response>(&result);
        return response != nullptr &&
               nlohmann::json::parse(response->body)["revision"] == 2;
    }));
}

} // namespace
} // namespace hibiscus::testing
