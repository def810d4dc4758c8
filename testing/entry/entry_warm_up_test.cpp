#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

namespace hibiscus::testing {

namespace {

/// Requests per second that a server tolerates while it warms up.
constexpr int tolerated_per_s = 2;

/// The most requests that such a server may get in any second.
constexpr int most_per_s = 3;

/// One node and samplers that tolerate few requests while they warm up.
class entry_warm_up_test : public ::testing::Test, protected entry_harness {
protected:
    entry_warm_up_test() {
        extra_settings_ = "bounds:\n  warm_up_overage: 1\n  warm_up_slack: 1\n";
        auto configuration = json::parse(configuration_json);
        configuration["services"] = {
            {{"name", "llm"}, {"coldPerS", tolerated_per_s}}};
        store_.put("keyed.op", "config", configuration.dump());
    }

    void set_warm_up_ms(int ms) {
        for (auto& server : samplers_) {
            server->set_warm_up_ms(ms);
            store_.put("keyed.servers", server->id(),
                       server->make_registration("llm", true));
        }
    }

    /// Runs a job and returns how many runs a sampler has got at most in a
    /// second.
    int run_job() {
        start_node("n1");
        EXPECT_TRUE(wait_until_ready("n1"));
        EXPECT_TRUE(run_until([&] { return !job_owner().empty(); }));
        EXPECT_EQ(call("n1", "POST", "/batch/1", {{"Request-Id", "job1"}},
                       make_job_body("i"))
                      .status,
                  202);
        EXPECT_TRUE(run_until([&] {
            const auto response =
                call("n1", "GET", "/lots/job1?after=0", {{"Wait-Ms", "200"}});
            return response.status == 200 &&
                   json::parse(response.body).at("results").size() ==
                       items_per_job;
        }));
        int most = 0;
        for (const auto& server : samplers_) {
            most = std::max(most, server->most_runs_per_second());
        }
        return most;
    }
};

// Guards against as many runs as there are slots at servers that warm up.
TEST_F(entry_warm_up_test, servers_that_warm_up_get_runs_at_their_rate) {
    set_warm_up_ms(60000);
    EXPECT_LE(run_job(), tolerated_per_s);
}

// Guards against too many runs at servers that warm up unnoticed.
TEST_F(entry_warm_up_test,
       no_server_gets_more_runs_than_one_that_warms_up_may) {
    EXPECT_LE(run_job(), most_per_s);
}

} // namespace

} // namespace hibiscus::testing
