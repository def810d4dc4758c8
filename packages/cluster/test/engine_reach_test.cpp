#include "hibiscus/cluster/engine_reach.hpp"
#include "hibiscus/cluster/engine_table.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::engine_id engine("e1");

/// Four ready nodes that look for the home of one engine.
class engine_reach_test : public ::testing::Test {
protected:
    engine_reach_test() : members_(base::node_id("n0"), 1000), reach_(10000) {
        for (int i = 0; i < 4; ++i) {
            wire::heartbeat beat;
            beat.node = base::node_id("n" + std::to_string(i));
            beat.state = wire::node_state::ready;
            members_.hear(0, beat);
        }
    }

    base::node_id home() const { return reach_.home_of(engine, members_); }

    /// Lets the present home say that it cannot reach the engine.
    bool lose(base::millis now) {
        wire::engine_digest digest;
        digest.engine = engine;
        digest.reachable = false;
        return reach_.hear(now, home(), {digest});
    }

    member_table members_;
    engine_reach reach_;
};

// The way between one node and an engine is broken while others reach it. If
// the engine stayed with that node, it would stand idle though it is well.
TEST_F(engine_reach_test, an_engine_goes_to_another_node_before_it_is_dead) {
    const auto first = home();
    EXPECT_TRUE(lose(0));
    const auto second = home();
    EXPECT_NE(second, first);
    EXPECT_TRUE(lose(0));
    EXPECT_NE(home(), first);
    EXPECT_NE(home(), second);
}

// The engine itself is dead. It must not wander through all nodes, each of
// which would append an epoch to the log.
TEST_F(engine_reach_test, an_engine_that_nobody_reaches_stays_where_it_was) {
    const auto first = home();
    for (int i = 0; i < 3; ++i) {
        lose(0);
    }
    EXPECT_EQ(home(), first);
}

TEST_F(engine_reach_test, a_node_gets_its_engine_back_after_a_while) {
    const auto first = home();
    lose(0);
    EXPECT_FALSE(reach_.expire(9000));
    EXPECT_TRUE(reach_.expire(10000));
    EXPECT_EQ(home(), first);
}

// A burst of failed polls makes a node call all its engines unhealthy at once.
// Without a limit no engine would be left and every step would stand still.
TEST(engine_table_test, at_most_half_of_a_pool_is_ejected) {
    engine_table table;
    wire::instance_page page;
    for (int i = 0; i < 5; ++i) {
        wire::instance row;
        row.id = "e" + std::to_string(i);
        row.role = wire::instance_role::engine;
        row.group = "pool";
        page.instances.push_back(row);
    }
    table.update(page);
    wire::engine_digest digest;
    digest.engine = base::engine_id("e4");
    digest.healthy = true;
    table.hear(1, digest);
    EXPECT_EQ(table.usable(base::pool_id("pool")).size(), 1U)
        << "an engine that was never heard of is not ejected";
    for (int i = 0; i < 4; ++i) {
        digest.engine = base::engine_id("e" + std::to_string(i));
        digest.healthy = false;
        table.hear(10 + i, digest);
    }
    const auto usable = table.usable(base::pool_id("pool"));
    ASSERT_EQ(usable.size(), 3U);
    EXPECT_EQ(usable[0]->id.str(), "e4");
    EXPECT_EQ(usable[1]->id.str(), "e3") << "the latest heard of come first";
}

} // namespace
} // namespace hibiscus::cluster
