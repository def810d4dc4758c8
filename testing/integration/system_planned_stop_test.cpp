#include "support/failure_scenario.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace hibiscus::testing {

extern std::string build_dir; // NOLINT

namespace {

constexpr base::millis stop_timeout_ms = 60000;

/// A complete cluster under load, whose instances are replaced by planned
/// stops.
class system_planned_stop_test : public ::testing::Test {
protected:
    system_planned_stop_test() : scenario_(build_dir) {}

    void SetUp() override {
        ASSERT_TRUE(scenario_.start());
        scenario_.start_load({12, 40, 300});
        ASSERT_TRUE(scenario_.wait_for_completions("sync-"));
    }

    void TearDown() override {
        const auto violations = scenario_.finish_and_check();
        EXPECT_TRUE(violations.empty()) << to_string(violations);
        const auto responses = scenario_.recorded_responses();
        // No failure is injected, so no connection may break and no outcome may
        // be unknown.
        const auto failed_count =
            std::count_if(responses.begin(), responses.end(),
                          [](const recorded_response& response) {
                              return response.result != "completed" &&
                                     response.result != "not_run";
                          });
        EXPECT_EQ(failed_count, 0);
    }

    /// Starts a node on `ip` and stops the node at `index`.
    void replace(std::size_t index, const std::string& ip) {
        auto& cluster = scenario_.cluster();
        cluster.start_node(ip, cluster.nodes()[index].zone);
        ASSERT_TRUE(cluster.wait_until_ready());
        cluster.nodes()[index].daemon->signal(SIGTERM);
        EXPECT_EQ(cluster.nodes()[index].daemon->wait_for_exit(stop_timeout_ms),
                  0);
        cluster.deregister_instance(cluster.nodes()[index].name);
    }

    failure_scenario scenario_;
};

// Operators replace all instances one after the other under load. Callers still
// hold addresses of stopped instances; none of their requests may fail.
TEST_F(system_planned_stop_test, a_rolling_replacement_cuts_nothing_off) {
    replace(0, "127.0.0.4");
    replace(1, "127.0.0.5");
    replace(2, "127.0.0.6");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 50));
}

} // namespace
} // namespace hibiscus::testing
