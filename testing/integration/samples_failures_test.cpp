#include "support/test_cluster.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>

namespace hibiscus::testing {

extern std::string build_dir; // NOLINT

namespace {

using nlohmann::json;

constexpr base::millis run_timeout_ms = 150000;
constexpr base::millis fault_interval_ms = 700;

/// A cluster of three nodes, to which the tests add three engines and a
/// trainer.
class samples_failures_test : public ::testing::Test {
protected:
    samples_failures_test() : cluster_(build_dir) {
        cluster_.start_platform();
        for (const char* zone : {"1", "2", "3"}) {
            cluster_.start_node(std::string("127.0.0.") + zone,
                                std::string("z") + zone);
        }
    }

    /// Starts the engines and the trainer. Returns when the trainer has
    /// completed its first step.
    void
    start_engines_and_trainer(bool checks_fencing,
                              const std::vector<std::string>& engine_flags) {
        for (const char* zone : {"z1", "z2", "z3"}) {
            engines_.push_back(
                cluster_.start_engine("tagging", zone, engine_flags));
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
        ASSERT_EQ(cluster_.publish_document(document.dump()), 0);
        ASSERT_TRUE(cluster_.wait_until_ready());
        trainer_ = &cluster_.start_client(
            "trainer", "tagger",
            {"--steps=6", "--groups=8", "--train_ms=300",
             "--weights=" + base::to_string(cluster_.address_of("weights"))});
        ASSERT_TRUE(eventually([this] {
            return trainer_->output().find("step 1 trained") !=
                   std::string::npos;
        })) << trainer_->output();
    }

    /// Waits until the trainer exits and checks its summary: all samples
    /// received, none duplicate, stale or with a wrong text.
    void expect_correct_samples() {
        ASSERT_EQ(trainer_->wait_for_exit(run_timeout_ms), 0)
            << trainer_->output();
        const auto output = trainer_->output();
        const auto summary =
            json::parse(output.substr(output.find("{\"client\"")));
        EXPECT_EQ(summary.value("got", 0), summary.value("wanted", -1))
            << output;
        EXPECT_EQ(summary.value("duplicates", -1), 0) << output;
        EXPECT_EQ(summary.value("stale", -1), 0) << output;
        EXPECT_EQ(summary.value("untrue", -1), 0) << output;
    }

    test_cluster cluster_;
    std::vector<std::string> engines_;
    process* trainer_ = nullptr;
};

// Each node is killed in the middle of a step and restarts without state; one
// of them is the trainer's home node. The samples that it held are lost, and
// the trainer must still get each sample slot once.
TEST_F(samples_failures_test, a_step_completes_although_each_home_is_killed) {
    start_engines_and_trainer(true, {});
    for (std::size_t i = 0; i < cluster_.nodes().size(); ++i) {
        cluster_.nodes()[i].daemon->signal(SIGKILL);
        pause_for(fault_interval_ms);
        cluster_.restart_node(i);
        ASSERT_TRUE(cluster_.wait_until_ready());
    }
    expect_correct_samples();
}

// Each node is paused for longer than the member timeout, so two nodes act as
// the trainer's home node when it resumes with old pulls and versions. The
// trainer must not receive duplicate or stale samples.
TEST_F(samples_failures_test,
       a_resumed_home_delivers_no_stale_or_duplicate_sample) {
    start_engines_and_trainer(true, {});
    for (auto& node : cluster_.nodes()) {
        node.daemon->signal(SIGSTOP);
        pause_for(3 * fault_interval_ms);
        node.daemon->signal(SIGCONT);
        pause_for(fault_interval_ms);
    }
    expect_correct_samples();
}

// An engine is killed with its streams. Their sample slots must be generated on
// other engines, although the instance list still contains the killed one.
TEST_F(samples_failures_test, the_streams_of_a_killed_engine_run_elsewhere) {
    start_engines_and_trainer(true, {});
    cluster_.fake_process(engines_[0]).signal(SIGKILL);
    expect_correct_samples();
}

// Some weight swaps fail, and the engines do not check fencing tokens. The
// engines keep serving the versions that they have, and the samples must be
// reported with exactly these versions.
TEST_F(samples_failures_test,
       samples_name_their_versions_when_swaps_fail_without_fencing) {
    start_engines_and_trainer(false,
                              {"--fail_swaps=0.4", "--check_fencing=false"});
    expect_correct_samples();
}

} // namespace
} // namespace hibiscus::testing
