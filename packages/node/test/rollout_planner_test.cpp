#include "rollout_planner.hpp"

#include <gtest/gtest.h>

namespace hibiscus::node {
namespace {

const base::pool_id shared("shared");
const base::trainer_id tagger("tagger");
constexpr int engines = 10;

/// Returns a document with one pool, a third of which may swap at a time.
document::document one_pool() {
    document::document d;
    document::pool pool;
    pool.name = shared;
    pool.swap_share = 0.34;
    d.pools.push_back(pool);
    document::trainer trainer;
    trainer.name = tagger;
    trainer.pool = shared;
    trainer.staleness_bound = 1;
    d.trainers.push_back(trainer);
    return d;
}

/// Ten engines that serve one version of the tagger.
class rollout_planner_test : public ::testing::Test {
protected:
    rollout_planner_test()
        : document_(one_pool()),
          planner_(table_, versions_, [this] { return &document_; }) {
        wire::instance_list page;
        for (int i = 0; i < engines; ++i) {
            wire::instance row;
            row.id = "e" + std::to_string(i);
            row.role = wire::instance_role::engine;
            row.group = shared.str();
            page.instances.push_back(row);
        }
        table_.update_instances(page);
    }

    /// Returns how many engines that serve `served` may swap to `newest`.
    int turns(wire::weight_version served, wire::weight_version newest) {
        versions_.update(1000, tagger, newest);
        for (const auto& [id, row] : table_.all()) {
            wire::engine_status digest;
            digest.engine = id;
            digest.healthy = true;
            if (served > 0) {
                digest.serving = {{tagger, served}};
            }
            table_.update_status(1000, digest);
        }
        int count = 0;
        for (const auto& [id, row] : table_.all()) {
            count += planner_.may_swap(1000, id, {tagger, newest}) ? 1 : 0;
        }
        return count;
    }

    cluster::engine_table table_;
    cluster::version_table versions_;
    document::document document_;
    rollout_planner planner_;
};

TEST_F(rollout_planner_test, a_share_of_the_engines_swaps_at_a_time) {
    const int swapping = turns(4, 5);
    EXPECT_GT(swapping, 0);
    EXPECT_LT(swapping, engines / 2);
}

// A trainer publishes its first version. No engine can run its samples before
// it swaps, so waiting for turns only makes the trainer wait.
TEST_F(rollout_planner_test, engines_without_a_version_all_swap_at_once) {
    EXPECT_EQ(turns(0, 1), engines);
}

TEST_F(rollout_planner_test, engines_outside_the_bound_all_swap_at_once) {
    EXPECT_EQ(turns(3, 5), engines);
}

} // namespace
} // namespace hibiscus::node
