#include "integration/traffic_fixture.hpp"

#include <csignal>

namespace hibiscus::testing {
namespace {

/// Nodes that lose sight of the platform or of each other.
class traffic_isolation_test : public traffic_test {
protected:
    /// Returns the answer to one lookup, or one that says nothing.
    wire::service_response lookup(std::size_t node, const std::string& key) {
        return run_request(node, make_request(key, true))
            .value_or(wire::service_response{});
    }

    /// Takes an instance's row to `leaving`, as the platform does.
    void mark_leaving(const std::string& service) {
        auto row = cluster_.registered_instances().at(service);
        row.state = wire::instance_state::leaving;
        cluster_.register_instance(row);
    }

    /// Runs lookups and returns how many of them `service` ran.
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

// A node loses the log and its peers at once. It cannot know whether its
// document is still in force, so it refuses and says why, and callers who ask
// it for addresses are told of others.
TEST_F(traffic_isolation_test, an_isolated_node_rejects_requests) {
    cluster_.start_platform();
    start_nodes(2);
    cluster_.insert_proxy("log");
    start_nodes(1);
    cluster_.start_service("ledger", "z1");
    publish_and_wait_until_ready();
    auto& nodes = cluster_.nodes();
    // The third node alone reaches the log by the proxy.
    cluster_.control_proxy("log", "rule", R"({"refuse": true})");
    cluster_.control_proxy("log", "cut");
    nodes[0].daemon->signal(SIGSTOP);
    nodes[1].daemon->signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] {
        const auto answer = lookup(2, "isolated");
        return answer.result == wire::outcome::not_run &&
               answer.why == wire::reason::config_unknown &&
               answer.retry_after_ms > 0;
    }));
    nodes[0].daemon->signal(SIGCONT);
    nodes[1].daemon->signal(SIGCONT);
    EXPECT_TRUE(eventually(
        [&] { return lookup(2, "back").result == wire::outcome::completed; }));
}

// An instance is marked as leaving. Soon no entry sends it anything, although
// it would still answer.
TEST_F(traffic_isolation_test, a_leaving_instance_gets_no_new_work) {
    cluster_.start_platform();
    start_nodes(1);
    const auto leaving = cluster_.start_service("ledger", "z1");
    cluster_.start_service("ledger", "z1");
    publish_and_wait_until_ready();
    EXPECT_TRUE(eventually(
        [&] { return run_lookups_and_count(leaving, "before-") > 0; }));
    mark_leaving(leaving);
    EXPECT_TRUE(eventually(
        [&] { return run_lookups_and_count(leaving, "after-") == 0; }));
    // The list is gone for a while: what it said last still holds.
    cluster_.send_request("instances", "POST", "/v1/fault",
                          R"({"outage": true})");
    pause_for(2000);
    EXPECT_EQ(run_lookups_and_count(leaving, "outage-"), 0);
}

// An entry is paused. Meanwhile an instance begins to leave, and is gone some
// seconds later. When the entry wakes its list is old, and the first requests
// must not go by it.
TEST_F(traffic_isolation_test, a_paused_entry_does_not_route_by_its_old_list) {
    cluster_.start_platform();
    start_nodes(1);
    const auto leaving = cluster_.start_service("ledger", "z1");
    cluster_.start_service("ledger", "z1");
    publish_and_wait_until_ready();
    EXPECT_TRUE(eventually(
        [&] { return run_lookups_and_count(leaving, "before-") > 0; }));
    auto& node = *cluster_.nodes()[0].daemon;
    node.signal(SIGSTOP);
    mark_leaving(leaving);
    pause_for(6000);
    node.signal(SIGCONT);
    for (int i = 0; i < 30; ++i) {
        const auto key = "woken-" + std::to_string(i);
        run_request(0, make_request(key, true));
        EXPECT_EQ(run_count(leaving, key), 0) << key;
    }
    EXPECT_TRUE(eventually(
        [&] { return lookup(0, "later").result == wire::outcome::completed; }));
}

} // namespace
} // namespace hibiscus::testing
