#include "hibiscus/admission/shares.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace hibiscus::admission {
namespace {

constexpr double reward_share = 0.25;

node_demand make_demand(double callers, double rewards = 0, double weight = 1) {
    return {{callers, rewards}, 1, weight, 0, 0};
}

traffic_slots sum_shares(const std::vector<node_demand>& nodes,
                         const share_levels& levels) {
    traffic_slots sum;
    for (const auto& n : nodes) {
        const auto share = share_of(n, levels);
        sum.callers += share.callers;
        sum.rewards += share.rewards;
    }
    return sum;
}

TEST(shares_test, nothing_is_limited_while_all_demands_fit) {
    const auto levels =
        share_room(18, {make_demand(10), make_demand(4, 3.9)}, reward_share);
    EXPECT_FALSE(levels.is_short());
}

TEST(shares_test, small_demands_are_served_in_full) {
    const std::vector<node_demand> nodes{make_demand(0.2), make_demand(30),
                                         make_demand(1)};
    const auto levels = share_room(10, nodes, reward_share);
    EXPECT_DOUBLE_EQ(share_of(nodes[0], levels).callers, 0.2);
    EXPECT_DOUBLE_EQ(share_of(nodes[2], levels).callers, 1);
    EXPECT_DOUBLE_EQ(share_of(nodes[1], levels).callers, 8.8);
}

TEST(shares_test, shares_grow_with_the_weight) {
    const std::vector<node_demand> nodes{make_demand(30, 0, 3),
                                         make_demand(30)};
    const auto levels = share_room(8, nodes, reward_share);
    EXPECT_DOUBLE_EQ(share_of(nodes[0], levels).callers, 6);
    EXPECT_DOUBLE_EQ(share_of(nodes[1], levels).callers, 2);
}

TEST(shares_test, reward_calls_keep_their_part_under_pressure_of_callers) {
    const std::vector<node_demand> nodes{make_demand(100), make_demand(0, 10)};
    const auto levels = share_room(16, nodes, reward_share);
    EXPECT_DOUBLE_EQ(share_of(nodes[1], levels).rewards, 4);
    EXPECT_DOUBLE_EQ(share_of(nodes[0], levels).callers, 12);
}

TEST(shares_test, each_kind_gets_what_the_other_one_leaves) {
    const std::vector<node_demand> many_rewards{make_demand(4),
                                                make_demand(0, 30)};
    EXPECT_DOUBLE_EQ(
        share_of(many_rewards[1], share_room(16, many_rewards, reward_share))
            .rewards,
        12);
    const std::vector<node_demand> many_callers{make_demand(30),
                                                make_demand(0, 1)};
    EXPECT_DOUBLE_EQ(
        share_of(many_callers[0], share_room(16, many_callers, reward_share))
            .callers,
        15);
}

TEST(shares_test, room_is_what_the_nodes_with_demand_believe) {
    const std::vector<node_demand> nodes{{{10, 0}, 0.5, 1, 0, 0},
                                         {{0, 0}, 1, 1, 0, 0}};
    EXPECT_DOUBLE_EQ(share_room(16, nodes, reward_share).room, 8);
}

TEST(fleet_room_test, room_is_learnt_from_what_full_servers_serve) {
    fleet_room room;
    double learnt = 0;
    for (base::millis now = 0; now < 20000; now += 500) {
        // The expected times are twice the real ones.
        learnt = room.update(18, {{{40, 0}, 1, 1, 20, 36}}, now);
    }
    EXPECT_NEAR(learnt, 36, 4);
}

TEST(fleet_room_test, room_shrinks_while_requests_wait_at_servers) {
    fleet_room room;
    EXPECT_LT(room.update(18, {{{40, 0}, 1, 1, 60, 18}}, 0), 9);
}

TEST(shares_test, shares_add_up_to_the_room_and_none_starves) {
    EXPECT_TRUE(rc::check([] {
        std::vector<node_demand> nodes;
        for (int n = *rc::gen::inRange(1, 90); n > 0; --n) {
            nodes.push_back(make_demand(*rc::gen::inRange(0, 200) / 100.0,
                                        *rc::gen::inRange(0, 100) / 100.0,
                                        *rc::gen::inRange(1, 20)));
        }
        const auto levels =
            share_room(*rc::gen::inRange(1, 40), nodes, reward_share);
        const auto sum = sum_shares(nodes, levels);
        const double total = levels.demand.callers + levels.demand.rewards;
        RC_ASSERT(std::abs(sum.callers + sum.rewards -
                           std::min(total, levels.room)) < 1e-6);
        for (const auto& n : nodes) {
            RC_ASSERT(n.slots.callers == 0 || share_of(n, levels).callers > 0);
        }
    }));
}

} // namespace
} // namespace hibiscus::admission
