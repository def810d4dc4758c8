#include "hibiscus/policy/fair_share.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace hibiscus::policy {
namespace {

const base::trainer_id first_trainer("first");
const base::trainer_id second_trainer("second");

TEST(fair_share_test, weights_divide_a_contended_pool) {
    const std::vector<pool_usage> usages{{first_trainer, 3.0, 10},
                                         {second_trainer, 1.0, 10}};
    EXPECT_DOUBLE_EQ(compute_shares(usages, first_trainer, 80).active, 60.0);
    EXPECT_DOUBLE_EQ(compute_shares(usages, second_trainer, 80).active, 20.0);
}

TEST(fair_share_test, unused_shares_go_to_active_trainers) {
    const std::vector<pool_usage> usages{{first_trainer, 1.0, 10},
                                         {second_trainer, 1.0, 0}};
    EXPECT_DOUBLE_EQ(compute_shares(usages, first_trainer, 80).active, 80.0);
    EXPECT_DOUBLE_EQ(compute_shares(usages, first_trainer, 80).guaranteed,
                     40.0);
    EXPECT_DOUBLE_EQ(compute_shares(usages, second_trainer, 80).active, 40.0);
}

TEST(fair_share_test, an_owners_weight_multiplies_the_weight_of_its_trainers) {
    document::document document;
    document.owners = {{base::owner_id("campus"), 2.0}};
    document::trainer trainer_entry;
    trainer_entry.owner = base::owner_id("campus");
    trainer_entry.weight = 1.5;
    EXPECT_DOUBLE_EQ(effective_weight(document, trainer_entry), 3.0);
}

// One trainer has filled the pool before another one starts. Without shares the
// late trainer gets slots only by chance, and its step takes many times as
// long.
TEST(fair_share_test, a_late_trainer_reaches_its_share_as_streams_end) {
    constexpr int engines = 4;
    constexpr int slots = 4;
    constexpr int queue = 4;
    std::array<std::array<int, 2>, engines> streams{};
    const auto total_streams = [&](std::size_t trainer) {
        int sum = 0;
        for (const auto& engine : streams) {
            sum += engine[trainer];
        }
        return sum;
    };
    const auto try_admit = [&](std::size_t trainer) {
        const std::vector<pool_usage> usages{
            {first_trainer, 1.0, total_streams(0)},
            {second_trainer, 1.0, total_streams(1)}};
        const auto shares = compute_shares(usages, usages[trainer].trainer,
                                           engines * (slots + queue));
        for (auto& engine : streams) {
            if (engine[0] + engine[1] <
                stream_limit(usages[trainer].admitted_streams, shares, slots,
                             queue)) {
                ++engine[trainer];
                return true;
            }
        }
        return false;
    };
    while (try_admit(0)) {
    }
    EXPECT_GE(total_streams(0), engines * (slots + queue - 1));
    for (int round = 0; round < 64; ++round) {
        // A stream of the first trainer ends, and that trainer asks first each
        // time.
        --(*std::max_element(streams.begin(), streams.end()))[0];
        try_admit(0);
        try_admit(1);
    }
    EXPECT_EQ(total_streams(1), engines * (slots + queue) / 2);
    EXPECT_GE(total_streams(0), engines * (slots + queue) / 2 - 1);
}

TEST(fair_share_test, free_slots_are_given_beyond_the_share) {
    const fair_shares shares{20.0, 40.0};
    EXPECT_EQ(stream_limit(19, shares, 8, 8), 16);
    EXPECT_EQ(stream_limit(39, shares, 8, 8), 15);
    EXPECT_EQ(stream_limit(50, shares, 8, 8), 8);
}

} // namespace
} // namespace hibiscus::policy
