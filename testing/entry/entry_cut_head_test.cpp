#include "entry/cutting_relay.hpp"
#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

#include <numeric>

namespace hibiscus::testing {

namespace {

/// Connections are cut after each multiple of this number of bytes.
constexpr std::size_t cut_step = 5;

/// The last of these positions: behind the head of a run, and near the end of
/// the response to a reward call.
constexpr std::size_t last_cut_of_run = 150;
constexpr std::size_t last_cut_of_reward_call = 80;

std::vector<std::size_t> cut_positions(std::size_t last) {
    std::vector<std::size_t> positions;
    for (std::size_t n = 0; n <= last; n += cut_step) {
        positions.push_back(n);
    }
    return positions;
}

/// One node, and servers whose first responses stop in their heads.
class entry_cut_head_test : public ::testing::Test, protected entry_harness {
protected:
    void cut_responses_of(fake_backend_server& server,
                          const std::string& service, bool is_sampler) {
        const auto positions = cut_positions(
            is_sampler ? last_cut_of_run : last_cut_of_reward_call);
        wanted_cuts_ += positions.size();
        relays_.push_back(
            std::make_unique<cutting_relay>(io_, server.address(), positions));
        auto registration =
            json::parse(server.make_registration(service, is_sampler));
        registration["address"] = to_string(relays_.back()->address());
        store_.put("keyed.servers", server.id(), registration.dump());
    }

    void start_and_wait() {
        publish_configuration();
        start_node("n1");
        ASSERT_TRUE(wait_until_ready("n1"));
        ASSERT_TRUE(run_until([&] { return !job_owner().empty(); }));
    }

    /// Runs jobs until all connections that are to be cut have been.
    void run_jobs() {
        for (int n = 0; n < max_jobs && !are_all_cut(); ++n) {
            run_job("j" + std::to_string(n));
        }
        EXPECT_TRUE(are_all_cut());
    }

private:
    static constexpr int max_jobs = 8;

    bool are_all_cut() const {
        return std::accumulate(relays_.begin(), relays_.end(), std::size_t{0},
                               [](std::size_t sum, const auto& relay) {
                                   return sum + relay->cut_count();
                               }) == wanted_cuts_;
    }

    void run_job(const std::string& job) {
        ASSERT_EQ(call("n1", "POST", "/batch/1", {{"Request-Id", job}},
                       make_job_body(job + "."))
                      .status,
                  202);
        json results;
        ASSERT_TRUE(run_until([&] {
            const auto response = call("n1", "GET", "/lots/" + job + "?after=0",
                                       {{"Wait-Ms", "200"}});
            results = response.status == 200
                          ? json::parse(response.body).at("results")
                          : json::array();
            return results.size() == items_per_job;
        })) << job;
        for (const auto& r : results) {
            const auto id = r.at("id").get<std::string>();
            EXPECT_EQ(r.at("state"), "succeeded") << id;
            EXPECT_EQ(r.value("text", ""),
                      fake_backend_server::expected_text(id, events_per_run));
            EXPECT_EQ(r.value("score", ""), "of-s" + id);
        }
    }

    std::vector<std::unique_ptr<cutting_relay>> relays_;
    std::size_t wanted_cuts_ = 0;
};

// Guards against texts that end with the head of a response that was cut.
TEST_F(entry_cut_head_test, runs_whose_heads_stop_are_sent_again) {
    for (const auto& server : samplers_) {
        cut_responses_of(*server, "llm", true);
    }
    start_and_wait();
    run_jobs();
}

// Guards against scores from the head of a response that was cut.
TEST_F(entry_cut_head_test, reward_calls_whose_heads_stop_are_sent_again) {
    cut_responses_of(lookup_server_, "app", false);
    start_and_wait();
    run_jobs();
}

} // namespace

} // namespace hibiscus::testing
