#include "rollout_planner.hpp"

#include <gtest/gtest.h>

namespace hibiscus::node {
namespace {

const base::pool_id pool_name("shared");
const base::trainer_id trainer_name("tagger");
constexpr int engine_count = 10;

/// Returns a document with one pool. A third of its engines may swap at a time.
document::document make_document() {
    document::document d;
    document::pool pool;
    pool.name = pool_name;
    pool.swap_share = 0.34;
    d.pools.push_back(pool);
    document::trainer trainer;
    trainer.name = trainer_name;
    trainer.pool = pool_name;
    trainer.staleness_bound = 1;
    d.trainers.push_back(trainer);
    return d;
}

/// A pool of ten engines that serve the same version of the trainer.
class rollout_planner_test : public ::testing::Test {
protected:
    rollout_planner_test()
        : document_(make_document()),
          planner_(table_, versions_, [this] { return &document_; }) {
        wire::instance_list list;
        for (int i = 0; i < engine_count; ++i) {
            wire::instance instance;
            instance.id = "e" + std::to_string(i);
            instance.role = wire::instance_role::engine;
            instance.group = pool_name.str();
            list.instances.push_back(instance);
        }
        table_.update_instances(list);
    }

    /// Returns how many engines may swap to `newest` while each of them serves
    /// `served`. If `served` is 0, the engines serve no version.
    int count_allowed_swaps(wire::weight_version served,
                            wire::weight_version newest) {
        versions_.update(1000, trainer_name, newest);
        for (const auto& [id, entry] : table_.all()) {
            wire::engine_status status;
            status.engine = id;
            status.healthy = true;
            if (served > 0) {
                status.serving = {{trainer_name, served}};
            }
            table_.update_status(1000, status);
        }
        int count = 0;
        for (const auto& [id, entry] : table_.all()) {
            count +=
                planner_.may_swap(1000, id, {trainer_name, newest}) ? 1 : 0;
        }
        return count;
    }

    cluster::engine_table table_;
    cluster::version_table versions_;
    document::document document_;
    rollout_planner planner_;
};

TEST_F(rollout_planner_test, limited_share_of_engines_swaps_at_once) {
    const int allowed_swaps = count_allowed_swaps(4, 5);
    EXPECT_GT(allowed_swaps, 0);
    EXPECT_LT(allowed_swaps, engine_count / 2);
}

// No engine can run samples of a trainer before it has swapped to the first
// version, so swapping in turns would only delay the trainer.
TEST_F(rollout_planner_test, engines_without_a_version_all_swap_at_once) {
    EXPECT_EQ(count_allowed_swaps(0, 1), engine_count);
}

TEST_F(rollout_planner_test, engines_outside_the_bound_all_swap_at_once) {
    EXPECT_EQ(count_allowed_swaps(3, 5), engine_count);
}

} // namespace
} // namespace hibiscus::node
