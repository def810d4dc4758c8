#include "hibiscus/cluster/engine_reachability.hpp"
#include "hibiscus/cluster/engine_table.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::engine_id engine("e1");

/// Four ready nodes and one engine.
class engine_reachability_test : public ::testing::Test {
protected:
    engine_reachability_test()
        : members_(base::node_id("n0"), 1000), reachability_(10000) {
        for (int i = 0; i < 4; ++i) {
            wire::heartbeat heartbeat;
            heartbeat.node = base::node_id("n" + std::to_string(i));
            heartbeat.state = wire::node_state::ready;
            members_.record_heartbeat(0, heartbeat);
        }
    }

    base::node_id home_node() const {
        return reachability_.home_of(engine, members_);
    }

    /// Lets the current home node report the engine as unreachable.
    bool report_unreachable(base::millis now) {
        wire::engine_status status;
        status.engine = engine;
        status.reachable = false;
        return reachability_.update(now, home_node(), {status});
    }

    member_table members_;
    engine_reachability reachability_;
};

// The network between one node and an engine is broken while other nodes can
// reach it. If the engine stayed with that node, it would be idle although it
// is healthy.
TEST_F(engine_reachability_test, an_unreachable_engine_moves_to_another_node) {
    const auto first = home_node();
    EXPECT_TRUE(report_unreachable(0));
    const auto second = home_node();
    EXPECT_NE(second, first);
    EXPECT_TRUE(report_unreachable(0));
    EXPECT_NE(home_node(), first);
    EXPECT_NE(home_node(), second);
}

// The engine itself has failed. It must not be handed over to every node in
// turn, because each of them would append an epoch to the log.
TEST_F(engine_reachability_test,
       an_engine_that_no_node_reaches_keeps_its_home_node) {
    const auto first = home_node();
    for (int i = 0; i < 3; ++i) {
        report_unreachable(0);
    }
    EXPECT_EQ(home_node(), first);
}

TEST_F(engine_reachability_test,
       a_node_gets_its_engine_back_when_the_report_expires) {
    const auto first = home_node();
    report_unreachable(0);
    EXPECT_FALSE(reachability_.remove_expired(9000));
    EXPECT_TRUE(reachability_.remove_expired(10000));
    EXPECT_EQ(home_node(), first);
}

// A burst of failed polls makes a node report all its engines as unhealthy.
// Without a limit no engine would be left and every step would stall.
TEST(engine_table_test, at_most_half_of_a_pool_is_ejected) {
    engine_table table;
    wire::instance_list instances;
    for (int i = 0; i < 5; ++i) {
        wire::instance instance;
        instance.id = "e" + std::to_string(i);
        instance.role = wire::instance_role::engine;
        instance.group = "pool";
        instances.instances.push_back(instance);
    }
    table.update_instances(instances);
    wire::engine_status status;
    status.engine = base::engine_id("e4");
    status.healthy = true;
    table.update_status(1, status);
    EXPECT_EQ(table.placement_candidates(base::pool_id("pool")).size(), 1U)
        << "an engine without a status must not be ejected";
    for (int i = 0; i < 4; ++i) {
        status.engine = base::engine_id("e" + std::to_string(i));
        status.healthy = false;
        table.update_status(10 + i, status);
    }
    const auto candidates = table.placement_candidates(base::pool_id("pool"));
    ASSERT_EQ(candidates.size(), 3U);
    EXPECT_EQ(candidates[0]->id.str(), "e4");
    EXPECT_EQ(candidates[1]->id.str(), "e3")
        << "the engine with the latest status must come first";
}

} // namespace
} // namespace hibiscus::cluster
