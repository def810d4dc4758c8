#include "hibiscus/policy/fair_share.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace hibiscus::policy {
namespace {

const base::trainer_id heavy("heavy");
const base::trainer_id light("light");

TEST(fair_share_test, weights_divide_a_contended_pool) {
    const std::vector<pool_usage> uses{{heavy, 3.0, 10}, {light, 1.0, 10}};
    EXPECT_DOUBLE_EQ(compute_shares(uses, heavy, 80).active, 60.0);
    EXPECT_DOUBLE_EQ(compute_shares(uses, light, 80).active, 20.0);
}

TEST(fair_share_test, what_nobody_uses_is_shared_by_those_present) {
    const std::vector<pool_usage> uses{{heavy, 1.0, 10}, {light, 1.0, 0}};
    EXPECT_DOUBLE_EQ(compute_shares(uses, heavy, 80).active, 80.0);
    EXPECT_DOUBLE_EQ(compute_shares(uses, heavy, 80).guaranteed, 40.0);
    EXPECT_DOUBLE_EQ(compute_shares(uses, light, 80).active, 40.0);
}

TEST(fair_share_test, an_owners_weight_multiplies_its_trainers) {
    document::document d;
    d.owners = {{base::owner_id("campus"), 2.0}};
    document::trainer t;
    t.owner = base::owner_id("campus");
    t.weight = 1.5;
    EXPECT_DOUBLE_EQ(effective_weight(d, t), 3.0);
}

// One trainer has filled the pool before another begins. Without shares the
// late one only gets places by luck and its step takes many times as long.
TEST(fair_share_test, a_late_trainer_reaches_its_share_as_streams_end) {
    constexpr int engines = 4;
    constexpr int slots = 4;
    constexpr int queue = 4;
    std::array<std::array<int, 2>, engines> streams{};
    const auto total_of = [&](std::size_t who) {
        int sum = 0;
        for (const auto& e : streams) {
            sum += e[who];
        }
        return sum;
    };
    const auto place = [&](std::size_t who) {
        const std::vector<pool_usage> uses{{heavy, 1.0, total_of(0)},
                                           {light, 1.0, total_of(1)}};
        const auto share =
            compute_shares(uses, uses[who].trainer, engines * (slots + queue));
        for (auto& e : streams) {
            if (e[0] + e[1] <
                stream_limit(uses[who].admitted_streams, share, slots, queue)) {
                ++e[who];
                return true;
            }
        }
        return false;
    };
    while (place(0)) {
    }
    EXPECT_GE(total_of(0), engines * (slots + queue - 1));
    for (int round = 0; round < 64; ++round) {
        // A stream of the heavy trainer ends, and it asks first each time.
        --(*std::max_element(streams.begin(), streams.end()))[0];
        place(0);
        place(1);
    }
    EXPECT_EQ(total_of(1), engines * (slots + queue) / 2);
    EXPECT_GE(total_of(0), engines * (slots + queue) / 2 - 1);
}

TEST(fair_share_test, free_slots_are_given_beyond_the_share) {
    const fair_shares shares{20.0, 40.0};
    EXPECT_EQ(stream_limit(19, shares, 8, 8), 16);
    EXPECT_EQ(stream_limit(39, shares, 8, 8), 15);
    EXPECT_EQ(stream_limit(50, shares, 8, 8), 8);
}

} // namespace
} // namespace hibiscus::policy
