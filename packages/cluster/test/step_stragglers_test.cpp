#include "hibiscus/cluster/engine_coordinator.hpp"
#include "hibiscus/cluster/step_coordinator.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::trainer_id trainer("t");

/// A step of ten slots of which nine are received: the last holds it up.
class step_stragglers_test : public ::testing::Test {
protected:
    /// Opens the step under `policy` and lets all but its last slot arrive.
    void finish_all_but_last_slot(straggler_policy policy) {
        policy_ = policy;
        home_.open_step(now_, {trainer, 1, {1, {{"prompt", 10, 8}}}});
        home_.tick(now_);
        home_.take_effects();
        home_.pull_samples(now_, 1, {trainer, 1, {1, 1, {{0, 8}}, 0, 10000}});
        home_.take_effects();
    }

    /// Ticks for `ms` and returns what was placed and cancelled.
    void advance_time(base::millis ms) {
        for (const auto end = now_ + ms; now_ < end; now_ += 20) {
            home_.tick(now_);
            for (auto& effect : home_.take_effects()) {
                if (auto* p = std::get_if<place_stream>(&effect)) {
                    placed_.push_back(std::move(*p));
                } else if (auto* c = std::get_if<cancel_stream>(&effect)) {
                    cancelled_.push_back(c->stream);
                }
            }
        }
    }

    base::millis now_ = 1000;
    std::string engine_ = "e1";
    straggler_policy policy_ = straggler_none{};
    std::vector<place_stream> placed_;
    std::vector<base::stream_id> cancelled_;
    step_coordinator home_{
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
// trainer stands idle for it. Its start is repeated, once, with more priority.
TEST_F(step_stragglers_test, the_last_slot_is_raised_once) {
    finish_all_but_last_slot(straggler_raise_priority{});
    advance_time(1000);
    ASSERT_EQ(placed_.size(), 1U);
    EXPECT_EQ(placed_[0].start.stream, make_stream_id(trainer, 1, 9, 0));
    EXPECT_EQ(placed_[0].start.priority, 1007);
    EXPECT_TRUE(cancelled_.empty());
}

// The engine is so full that the last sample does not begin. It is stopped
// there and runs elsewhere under a new id, so that it cannot come twice.
TEST_F(step_stragglers_test, a_slot_that_does_not_begin_is_moved) {
    finish_all_but_last_slot(straggler_move{});
    engine_ = "e2";
    advance_time(1000);
    ASSERT_EQ(cancelled_.size(), 1U);
    EXPECT_EQ(cancelled_[0], make_stream_id(trainer, 1, 9, 0));
    EXPECT_EQ(placed_.back().engine.str(), "e2");
    EXPECT_EQ(placed_.back().start.stream, make_stream_id(trainer, 1, 9, 1));
}

TEST(engine_home_priority_test, a_raised_stream_is_started_again_with_it) {
    const base::engine_id engine("e1");
    engine_coordinator home(base::node_id("n1"), {});
    home.assign_engines(0, {{engine, {}}});
    wire::stream_start start;
    start.stream = base::stream_id("t/1/0/0");
    home.admit_stream(0, {engine, base::node_id("n2"), start});
    start.priority = 1000;
    home.admit_stream(0, {engine, base::node_id("n2"), start});
    home.admit_stream(0, {engine, base::node_id("n2"), start});
    const auto effects = home.take_effects();
    ASSERT_EQ(effects.size(), 2U);
    EXPECT_EQ(std::get<start_at_engine>(effects[1]).start.priority, 1000);
    EXPECT_EQ(home.engines().at(engine).admitted_count(), 1);
}

} // namespace
} // namespace hibiscus::cluster
