#include "integration/traffic_fixture.hpp"

#include <csignal>

namespace hibiscus::testing {
namespace {

/// Nodes that lose sight of the platform or of each other.
class traffic_isolation_test : public traffic_test {
protected:
    /// Returns the answer to one lookup, or one that says nothing.
    wire::answer lookup(std::size_t node, const std::string& key) {
        return run(node, request(key, true)).value_or(wire::answer{});
    }

    /// Takes an instance's row to `leaving`, as the platform does.
    void leave(const std::string& service) {
        auto row = system_.listed().at(service);
        row.state = wire::instance_state::leaving;
        system_.list(row);
    }

    /// Runs lookups and returns how many of them `service` ran.
    int runs_after(const std::string& service, const std::string& prefix) {
        int runs = 0;
        for (int i = 0; i < 30; ++i) {
            const auto key = prefix + std::to_string(++keys_);
            EXPECT_EQ(lookup(0, key).result, wire::outcome::completed) << key;
            runs += runs_of(service, key);
        }
        return runs;
    }

    int keys_ = 0;
};

// A node loses the log and its peers at once. It cannot know whether its
// document is still in force, so it refuses and says why, and callers who ask
// it for addresses are told of others.
TEST_F(traffic_isolation_test, a_node_that_sees_nobody_refuses) {
    system_.start_platform();
    start_nodes(2);
    system_.put_proxy_before("log");
    start_nodes(1);
    system_.start_service("ledger", "z1");
    make_ready();
    auto& nodes = system_.nodes();
    // The third node alone reaches the log by the proxy.
    system_.order("log", "rule", R"({"refuse": true})");
    system_.order("log", "cut");
    nodes[0].running->signal(SIGSTOP);
    nodes[1].running->signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] {
        const auto answer = lookup(2, "isolated");
        return answer.result == wire::outcome::not_run &&
               answer.why == wire::reason::config_unknown &&
               answer.retry_after_ms > 0;
    }));
    nodes[0].running->signal(SIGCONT);
    nodes[1].running->signal(SIGCONT);
    EXPECT_TRUE(eventually(
        [&] { return lookup(2, "back").result == wire::outcome::completed; }));
}

// An instance is marked as leaving. Soon no entry sends it anything, although
// it would still answer.
TEST_F(traffic_isolation_test, a_leaving_instance_gets_no_new_work) {
    system_.start_platform();
    start_nodes(1);
    const auto leaving = system_.start_service("ledger", "z1");
    system_.start_service("ledger", "z1");
    make_ready();
    EXPECT_TRUE(eventually([&] { return runs_after(leaving, "before-") > 0; }));
    leave(leaving);
    EXPECT_TRUE(eventually([&] { return runs_after(leaving, "after-") == 0; }));
    // The list is gone for a while: what it said last still holds.
    system_.ask("instances", "POST", "/v1/fault", R"({"outage": true})");
    pause_for(2000);
    EXPECT_EQ(runs_after(leaving, "outage-"), 0);
}

// An entry is paused. Meanwhile an instance begins to leave, and is gone some
// seconds later. When the entry wakes its list is old, and the first requests
// must not go by it.
TEST_F(traffic_isolation_test, a_paused_entry_does_not_route_by_its_old_list) {
    system_.start_platform();
    start_nodes(1);
    const auto leaving = system_.start_service("ledger", "z1");
    system_.start_service("ledger", "z1");
    make_ready();
    EXPECT_TRUE(eventually([&] { return runs_after(leaving, "before-") > 0; }));
    auto& node = *system_.nodes()[0].running;
    node.signal(SIGSTOP);
    leave(leaving);
    pause_for(6000);
    node.signal(SIGCONT);
    for (int i = 0; i < 30; ++i) {
        const auto key = "woken-" + std::to_string(i);
        run(0, request(key, true));
        EXPECT_EQ(runs_of(leaving, key), 0) << key;
    }
    EXPECT_TRUE(eventually(
        [&] { return lookup(0, "later").result == wire::outcome::completed; }));
}

} // namespace
} // namespace hibiscus::testing
