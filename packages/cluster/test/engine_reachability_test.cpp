#include "hibiscus/cluster/engine_reachability.hpp"
#include "hibiscus/cluster/engine_table.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::engine_id engine("e1");

/// Four ready nodes that look for the home of one engine.
class engine_reachability_test : public ::testing::Test {
protected:
    engine_reachability_test()
        : members_(base::node_id("n0"), 1000), reach_(10000) {
        for (int i = 0; i < 4; ++i) {
            wire::heartbeat beat;
            beat.node = base::node_id("n" + std::to_string(i));
            beat.state = wire::node_state::ready;
            members_.record_heartbeat(0, beat);
        }
    }

    base::node_id home() const { return reach_.home_of(engine, members_); }

    /// Lets the present home say that it cannot reach the engine.
    bool report_unreachable(base::millis now) {
        wire::engine_status digest;
        digest.engine = engine;
        digest.reachable = false;
        return reach_.update(now, home(), {digest});
    }

    member_table members_;
    engine_reachability reach_;
};

// The way between one node and an engine is broken while others reach it. If
// the engine stayed with that node, it would stand idle though it is well.
TEST_F(engine_reachability_test,
       an_engine_goes_to_another_node_before_it_is_dead) {
    const auto first = home();
    EXPECT_TRUE(report_unreachable(0));
    const auto second = home();
    EXPECT_NE(second, first);
    EXPECT_TRUE(report_unreachable(0));
    EXPECT_NE(home(), first);
    EXPECT_NE(home(), second);
}

// The engine itself is dead. It must not wander through all nodes, each of
// which would append an epoch to the log.
TEST_F(engine_reachability_test,
       an_engine_that_nobody_reaches_stays_where_it_was) {
    const auto first = home();
    for (int i = 0; i < 3; ++i) {
        report_unreachable(0);
    }
    EXPECT_EQ(home(), first);
}

TEST_F(engine_reachability_test, a_node_gets_its_engine_back_after_a_while) {
    const auto first = home();
    report_unreachable(0);
    EXPECT_FALSE(reach_.remove_expired(9000));
    EXPECT_TRUE(reach_.remove_expired(10000));
    EXPECT_EQ(home(), first);
}

// A burst of failed polls makes a node call all its engines unhealthy at once.
// Without a limit no engine would be left and every step would stand still.
TEST(engine_table_test, at_most_half_of_a_pool_is_ejected) {
    engine_table table;
    wire::instance_list page;
    for (int i = 0; i < 5; ++i) {
        wire::instance row;
        row.id = "e" + std::to_string(i);
        row.role = wire::instance_role::engine;
        row.group = "pool";
        page.instances.push_back(row);
    }
    table.update_instances(page);
    wire::engine_status digest;
    digest.engine = base::engine_id("e4");
    digest.healthy = true;
    table.update_status(1, digest);
    EXPECT_EQ(table.placement_candidates(base::pool_id("pool")).size(), 1U)
        << "an engine that was never heard of is not ejected";
    for (int i = 0; i < 4; ++i) {
        digest.engine = base::engine_id("e" + std::to_string(i));
        digest.healthy = false;
        table.update_status(10 + i, digest);
    }
    const auto usable = table.placement_candidates(base::pool_id("pool"));
    ASSERT_EQ(usable.size(), 3U);
    EXPECT_EQ(usable[0]->id.str(), "e4");
    EXPECT_EQ(usable[1]->id.str(), "e3") << "the latest heard of come first";
}

} // namespace
} // namespace hibiscus::cluster
