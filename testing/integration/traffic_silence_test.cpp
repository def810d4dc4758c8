#include "integration/traffic_fixture.hpp"

namespace hibiscus::testing {
namespace {

/// Nodes with the ledger and what is behind fault proxies.
class traffic_silence_test : public traffic_test {};

// The network between an entry and a service loses track of every open
// connection. A student's lookup must not wait for an answer that never comes
// until its deadline has passed.
TEST_F(traffic_silence_test, a_lookup_survives_silent_idle_connections) {
    cluster_.start_platform();
    start_nodes(1);
    const auto service = cluster_.start_service("ledger", "z1");
    cluster_.insert_proxy(service);
    publish_and_wait_until_ready();
    for (int round = 0; round < 3; ++round) {
        for (int i = 0; i < 3; ++i) {
            const auto key = std::to_string(round) + "-" + std::to_string(i);
            const auto answer =
                run_request(0, make_request("lookup-" + key, true, 10000));
            ASSERT_TRUE(answer.has_value());
            EXPECT_EQ(answer->result, wire::outcome::completed) << key;
        }
        cluster_.control_proxy(service, "freeze");
    }
}

// As above, but a sync, which never uses an idle connection.
TEST_F(traffic_silence_test, a_sync_survives_silent_idle_connections) {
    cluster_.start_platform();
    start_nodes(1);
    const auto service = cluster_.start_service("ledger", "z1");
    cluster_.insert_proxy(service);
    publish_and_wait_until_ready();
    cluster_.control_proxy(service, "freeze");
    const auto answer = run_request(0, make_request("sync-1", false, 10000));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->result, wire::outcome::completed);
    EXPECT_EQ(run_count(service, "sync-1"), 1);
}

// One instance of two takes connections and bytes and never answers. Lookups
// go to the other one, within the retry budget.
TEST_F(traffic_silence_test, a_lookup_moves_on_from_a_silent_instance) {
    cluster_.start_platform();
    start_nodes(1);
    const auto silent = cluster_.start_service("ledger", "z1");
    cluster_.start_service("ledger", "z1");
    cluster_.insert_proxy(silent);
    publish_and_wait_until_ready();
    cluster_.control_proxy(silent, "rule",
                           R"({"to_client": 0, "action": "freeze"})");
    cluster_.control_proxy(silent, "freeze");
    for (int i = 0; i < 10; ++i) {
        const auto answer = run_request(
            0, make_request("lookup-" + std::to_string(i), true, 10000));
        ASSERT_TRUE(answer.has_value());
        EXPECT_EQ(answer->result, wire::outcome::completed) << i;
    }
}

// The links between the nodes go silent. Syncs for keys of other homes pass
// over them; they must find a new link, and no key may run twice.
TEST_F(traffic_silence_test, syncs_survive_silent_links_between_nodes) {
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
        std::optional<wire::service_response> answer;
        EXPECT_TRUE(eventually([&] {
            answer = run_request(0, make_request(key, false, 10000));
            return answer && answer->result == wire::outcome::completed;
        })) << key;
        EXPECT_EQ(run_count(service, key), 1) << key;
    }
}

// The read of the log that waits for the next record goes silent. A document
// that is published afterwards must still reach the node.
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
