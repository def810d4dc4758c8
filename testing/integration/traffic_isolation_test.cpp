#include "integration/traffic_fixture.hpp"

#include <csignal>

namespace hibiscus::testing {
namespace {

/// Nodes that lose their connection to the platform or to each other.
class traffic_isolation_test : public traffic_test {
protected:
    /// Sends a lookup and returns its response, or an empty one if none
    /// arrived.
    wire::service_response lookup(std::size_t node, const std::string& key) {
        return send_request(node, make_request(key, true))
            .value_or(wire::service_response{});
    }

    /// Marks an instance as leaving, as the platform does.
    void mark_leaving(const std::string& service) {
        auto entry = cluster_.registered_instances().at(service);
        entry.state = wire::instance_state::leaving;
        cluster_.register_instance(entry);
    }

    /// Sends 30 lookups and returns how many of them `service` ran.
    int run_lookups_and_count(const std::string& service,
                              const std::string& prefix) {
        int runs = 0;
        for (int i = 0; i < 30; ++i) {
            const auto key = prefix + std::to_string(++key_count_);
            EXPECT_EQ(lookup(0, key).result, wire::outcome::completed) << key;
            runs += run_count(service, key);
        }
        return runs;
    }

    int key_count_ = 0;
};

// A node loses the log and all peers at once and cannot know whether its
// document is still in force. It must reject requests with the reason
// `config_unknown` and a retry time. Clients that ask it for entry addresses
// get those of other nodes.
TEST_F(traffic_isolation_test, an_isolated_node_rejects_requests) {
    cluster_.start_platform();
    start_nodes(2);
    cluster_.insert_proxy("log");
    start_nodes(1);
    cluster_.start_service("ledger", "z1");
    publish_and_wait_until_ready();
    auto& nodes = cluster_.nodes();
    // Only the third node reaches the log through the proxy.
    cluster_.control_proxy("log", "rule", R"({"refuse": true})");
    cluster_.control_proxy("log", "cut");
    nodes[0].daemon->signal(SIGSTOP);
    nodes[1].daemon->signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] {
        const auto response = lookup(2, "isolated");
        return response.result == wire::outcome::not_run &&
               response.why == wire::reason::config_unknown &&
               response.retry_after_ms > 0;
    }));
    nodes[0].daemon->signal(SIGCONT);
    nodes[1].daemon->signal(SIGCONT);
    EXPECT_TRUE(eventually(
        [&] { return lookup(2, "back").result == wire::outcome::completed; }));
}

// An instance is marked as leaving. After a short time no entry may send
// requests to it, although it would still respond.
TEST_F(traffic_isolation_test, a_leaving_instance_gets_no_new_requests) {
    cluster_.start_platform();
    start_nodes(1);
    const auto leaving_service = cluster_.start_service("ledger", "z1");
    cluster_.start_service("ledger", "z1");
    publish_and_wait_until_ready();
    EXPECT_TRUE(eventually(
        [&] { return run_lookups_and_count(leaving_service, "before-") > 0; }));
    mark_leaving(leaving_service);
    EXPECT_TRUE(eventually(
        [&] { return run_lookups_and_count(leaving_service, "after-") == 0; }));
    // During an outage of the instance list its last content stays in use.
    cluster_.send_request("instances", "POST", "/v1/fault",
                          R"({"outage": true})");
    pause_for(2000);
    EXPECT_EQ(run_lookups_and_count(leaving_service, "outage-"), 0);
}

// An instance starts to leave while an entry is paused. The resumed entry has
// an outdated instance list, and its first requests must not be routed by it.
TEST_F(traffic_isolation_test, a_paused_entry_does_not_route_by_its_old_list) {
    cluster_.start_platform();
    start_nodes(1);
    const auto leaving_service = cluster_.start_service("ledger", "z1");
    cluster_.start_service("ledger", "z1");
    publish_and_wait_until_ready();
    EXPECT_TRUE(eventually(
        [&] { return run_lookups_and_count(leaving_service, "before-") > 0; }));
    auto& node = *cluster_.nodes()[0].daemon;
    node.signal(SIGSTOP);
    mark_leaving(leaving_service);
    pause_for(6000);
    node.signal(SIGCONT);
    for (int i = 0; i < 30; ++i) {
        const auto key = "woken-" + std::to_string(i);
        send_request(0, make_request(key, true));
        EXPECT_EQ(run_count(leaving_service, key), 0) << key;
    }
    EXPECT_TRUE(eventually(
        [&] { return lookup(0, "later").result == wire::outcome::completed; }));
}

} // namespace
} // namespace hibiscus::testing
