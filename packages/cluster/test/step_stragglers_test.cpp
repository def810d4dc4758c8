#include "hibiscus/cluster/engine_coordinator.hpp"
#include "hibiscus/cluster/step_coordinator.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::trainer_id trainer("t");

/// A step of ten slots of which nine have been received.
class step_stragglers_test : public ::testing::Test {
protected:
    /// Opens the step under `policy` and marks all slots but the last as
    /// received.
    void finish_all_but_last_slot(straggler_policy policy) {
        policy_ = policy;
        coordinator_.open_step(now_, {trainer, 1, {1, {{"prompt", 10, 8}}}});
        coordinator_.tick(now_);
        coordinator_.take_effects();
        coordinator_.pull_samples(now_, 1,
                                  {trainer, 1, {1, 1, {{0, 8}}, 0, 10000}});
        coordinator_.take_effects();
    }

    /// Ticks for `ms` and records what was placed and cancelled.
    void advance_time(base::millis ms) {
        for (const auto end = now_ + ms; now_ < end; now_ += 20) {
            coordinator_.tick(now_);
            for (auto& effect : coordinator_.take_effects()) {
                if (auto* place = std::get_if<place_stream>(&effect)) {
                    placed_.push_back(std::move(*place));
                } else if (auto* cancel = std::get_if<cancel_stream>(&effect)) {
                    cancelled_.push_back(cancel->stream);
                }
            }
        }
    }

    base::millis now_ = 1000;
    std::string engine_ = "e1";
    straggler_policy policy_ = straggler_none{};
    std::vector<place_stream> placed_;
    std::vector<base::stream_id> cancelled_;
    step_coordinator coordinator_{
        base::node_id("n1"),
        {},
        [this](const placement_query&) {
            return std::make_optional(placement{base::engine_id(engine_), 7});
        },
        [](const base::trainer_id&) { return std::make_optional(1); },
        [this](const base::trainer_id&) { return policy_; }};
};

TEST_F(step_stragglers_test, nothing_is_done_without_a_policy) {
    finish_all_but_last_slot(straggler_none{});
    advance_time(1000);
    EXPECT_TRUE(placed_.empty());
}

// One sample waits in an engine's queue behind those of other steps, and the
// trainer is idle meanwhile. Its stream is requested again once, with a higher
// priority.
TEST_F(step_stragglers_test, the_priority_of_the_last_slot_is_raised_once) {
    finish_all_but_last_slot(straggler_raise_priority{});
    advance_time(1000);
    ASSERT_EQ(placed_.size(), 1U);
    EXPECT_EQ(placed_[0].start.stream, make_stream_id(trainer, 1, 9, 0));
    EXPECT_EQ(placed_[0].start.priority, 1007);
    EXPECT_TRUE(cancelled_.empty());
}

// The engine is full and the last sample does not start. It is cancelled there
// and runs elsewhere under a new id, so that it cannot be delivered twice.
TEST_F(step_stragglers_test, a_slot_that_does_not_start_is_moved) {
    finish_all_but_last_slot(straggler_move{});
    engine_ = "e2";
    advance_time(1000);
    ASSERT_EQ(cancelled_.size(), 1U);
    EXPECT_EQ(cancelled_[0], make_stream_id(trainer, 1, 9, 0));
    EXPECT_EQ(placed_.back().engine.str(), "e2");
    EXPECT_EQ(placed_.back().start.stream, make_stream_id(trainer, 1, 9, 1));
}

TEST(engine_coordinator_priority_test,
     a_stream_with_a_raised_priority_is_started_again) {
    const base::engine_id engine("e1");
    engine_coordinator coordinator(base::node_id("n1"), {});
    coordinator.assign_engines(0, {{engine, {}}});
    wire::stream_start start;
    start.stream = base::stream_id("t/1/0/0");
    coordinator.admit_stream(0, {engine, base::node_id("n2"), start});
    start.priority = 1000;
    coordinator.admit_stream(0, {engine, base::node_id("n2"), start});
    coordinator.admit_stream(0, {engine, base::node_id("n2"), start});
    const auto effects = coordinator.take_effects();
    ASSERT_EQ(effects.size(), 2U);
    EXPECT_EQ(std::get<start_at_engine>(effects[1]).start.priority, 1000);
    EXPECT_EQ(coordinator.engines().at(engine).admitted_count(), 1);
}

} // namespace
} // namespace hibiscus::cluster
