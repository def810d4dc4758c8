#include "support/system.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>

namespace hibiscus::testing {

extern std::string programs; // NOLINT

namespace {

using nlohmann::json;

constexpr base::millis run_limit = 150000;
constexpr base::millis between_faults = 700;

/// Three nodes, three engines and one trainer in the middle of its steps.
class samples_failures_test : public ::testing::Test {
protected:
    samples_failures_test() : system_(programs) {
        system_.start_platform();
        for (const char* zone : {"1", "2", "3"}) {
            system_.start_node(std::string("127.0.0.") + zone,
                               std::string("z") + zone);
        }
    }

    /// Starts the engines and the trainer; returns once its first step is
    /// trained.
    void start(bool checks_fencing, const std::vector<std::string>& flags) {
        for (const char* zone : {"z1", "z2", "z3"}) {
            engines_.push_back(system_.start_engine("tagging", zone, flags));
        }
        const json document{
            {"schema", 1},
            {"owners", {{{"name", "campus"}}}},
            {"pools",
             {{{"name", "tagging"},
               {"owner", "campus"},
               {"checks_fencing", checks_fencing}}}},
            {"trainers",
             {{{"name", "tagger"},
               {"owner", "campus"},
               {"pool", "tagging"},
               {"staleness_bound", 1}}}},
            {"limits", {{"entries_ttl_ms", 500}, {"order_life_ms", 2000}}}};
        ASSERT_EQ(system_.publish(document.dump()), 0);
        ASSERT_TRUE(system_.wait_ready());
        trainer_ = &system_.start_client(
            "trainer", "tagger",
            {"--steps=6", "--groups=8", "--train_ms=300",
             "--weights=" + base::to_string(system_.address("weights"))});
        ASSERT_TRUE(eventually([this] {
            return trainer_->output().find("step 1 trained") !=
                   std::string::npos;
        })) << trainer_->output();
    }

    /// Waits for the trainer's end and judges what it says that it saw.
    void expect_whole() {
        ASSERT_EQ(trainer_->wait(run_limit), 0) << trainer_->output();
        const auto output = trainer_->output();
        const auto saw = json::parse(output.substr(output.find("{\"client\"")));
        EXPECT_EQ(saw.value("got", 0), saw.value("wanted", -1)) << output;
        EXPECT_EQ(saw.value("duplicates", -1), 0) << output;
        EXPECT_EQ(saw.value("stale", -1), 0) << output;
        EXPECT_EQ(saw.value("untrue", -1), 0) << output;
    }

    system system_;
    std::vector<std::string> engines_;
    process* trainer_ = nullptr;
};

// Each node's process dies in the middle of a step and comes back empty; one of
// them is the trainer's home. Samples that it held are gone, and the trainer
// must still get each slot once.
TEST_F(samples_failures_test, a_step_becomes_whole_though_each_home_is_killed) {
    start(true, {});
    for (std::size_t i = 0; i < system_.nodes().size(); ++i) {
        system_.nodes()[i].running->signal(SIGKILL);
        pause_for(between_faults);
        system_.restart_node(i);
        ASSERT_TRUE(system_.wait_ready());
    }
    expect_whole();
}

// Each node's process stands still for longer than the others wait for it, so
// that two nodes are home of the trainer at once when it wakes with old pulls
// and old versions. A user would notice samples that come twice or too old.
TEST_F(samples_failures_test, a_home_that_wakes_delivers_nothing_old_or_twice) {
    start(true, {});
    for (auto& node : system_.nodes()) {
        node.running->signal(SIGSTOP);
        pause_for(3 * between_faults);
        node.running->signal(SIGCONT);
        pause_for(between_faults);
    }
    expect_whole();
}

// An engine dies with all that it runs. Its slots must be generated elsewhere,
// though the platform's list still names it.
TEST_F(samples_failures_test, the_streams_of_a_killed_engine_run_elsewhere) {
    start(true, {});
    system_.stand_in(engines_[0]).signal(SIGKILL);
    expect_whole();
}

// A part of the swaps fails and the engines do not look at fencing numbers.
// They serve what they have, and samples must name just that.
TEST_F(samples_failures_test, failing_swaps_without_fencing_stay_true) {
    start(false, {"--fail_swaps=0.4", "--check_fencing=false"});
    expect_whole();
}

} // namespace
} // namespace hibiscus::testing
