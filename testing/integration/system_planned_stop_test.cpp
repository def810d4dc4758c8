#include "support/failure_run.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace hibiscus::testing {

extern std::string programs; // NOLINT

namespace {

constexpr base::millis stop_limit = 60000;

/// A whole system under load whose instances are replaced on purpose.
class system_planned_stop_test : public ::testing::Test {
protected:
    system_planned_stop_test() : run_(programs) {}

    void SetUp() override {
        ASSERT_TRUE(run_.start());
        run_.load({12, 40, 300});
        ASSERT_TRUE(run_.completes("sync-"));
    }

    void TearDown() override {
        const auto found = run_.finish();
        EXPECT_TRUE(found.empty()) << to_string(found);
        const auto kept = run_.answers();
        // Nothing failed, so no connection may have broken and nothing may be
        // unknown.
        const auto cut =
            std::count_if(kept.begin(), kept.end(), [](const kept_answer& a) {
                return a.result != "completed" && a.result != "not_run";
            });
        EXPECT_EQ(cut, 0);
    }

    /// Starts an instance on `ip` and stops the one at `index`.
    void replace(std::size_t index, const std::string& ip) {
        auto& s = run_.processes();
        s.start_node(ip, s.nodes()[index].zone);
        ASSERT_TRUE(s.wait_ready());
        s.nodes()[index].running->signal(SIGTERM);
        EXPECT_EQ(s.nodes()[index].running->wait(stop_limit), 0);
        s.unlist(s.nodes()[index].name);
    }

    failure_run run_;
};

// Operators upgrade: one instance after the other is replaced while kiosks,
// ledger syncs and a trainer are served. Callers still hold the addresses of
// instances that stop; nobody may notice.
TEST_F(system_planned_stop_test, a_rolling_replacement_cuts_nothing_off) {
    replace(0, "127.0.0.4");
    replace(1, "127.0.0.5");
    replace(2, "127.0.0.6");
    EXPECT_TRUE(run_.completes("sync-", 10));
    EXPECT_TRUE(run_.completes("lookup-", 50));
}

} // namespace
} // namespace hibiscus::testing
