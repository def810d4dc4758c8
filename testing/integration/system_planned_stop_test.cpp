#include "support/failure_scenario.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace hibiscus::testing {

extern std::string build_dir; // NOLINT

namespace {

constexpr base::millis stop_timeout_ms = 60000;

/// A whole system under load whose instances are replaced on purpose.
class system_planned_stop_test : public ::testing::Test {
protected:
    system_planned_stop_test() : scenario_(build_dir) {}

    void SetUp() override {
        ASSERT_TRUE(scenario_.start());
        scenario_.start_load({12, 40, 300});
        ASSERT_TRUE(scenario_.wait_for_completions("sync-"));
    }

    void TearDown() override {
        const auto found = scenario_.finish_and_check();
        EXPECT_TRUE(found.empty()) << to_string(found);
        const auto kept = scenario_.recorded_responses();
        // Nothing failed, so no connection may have broken and nothing may be
        // unknown.
        const auto cut = std::count_if(
            kept.begin(), kept.end(), [](const recorded_response& a) {
                return a.result != "completed" && a.result != "not_run";
            });
        EXPECT_EQ(cut, 0);
    }

    /// Starts an instance on `ip` and stops the one at `index`.
    void replace(std::size_t index, const std::string& ip) {
        auto& s = scenario_.cluster();
        s.start_node(ip, s.nodes()[index].zone);
        ASSERT_TRUE(s.wait_until_ready());
        s.nodes()[index].daemon->signal(SIGTERM);
        EXPECT_EQ(s.nodes()[index].daemon->wait_for_exit(stop_timeout_ms), 0);
        s.deregister_instance(s.nodes()[index].name);
    }

    failure_scenario scenario_;
};

// Operators upgrade: one instance after the other is replaced while kiosks,
// ledger syncs and a trainer are served. Callers still hold the addresses of
// instances that stop; nobody may notice.
TEST_F(system_planned_stop_test, a_rolling_replacement_cuts_nothing_off) {
    replace(0, "127.0.0.4");
    replace(1, "127.0.0.5");
    replace(2, "127.0.0.6");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 50));
}

} // namespace
} // namespace hibiscus::testing
