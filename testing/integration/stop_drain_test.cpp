#include "integration/traffic_fixture.hpp"

#include <atomic>
#include <csignal>
#include <thread>

namespace hibiscus::testing {
namespace {

/// Three nodes with two engines and two instances of the ledger.
class stop_drain_test : public traffic_test {
protected:
    void SetUp() override {
        cluster_.start_platform();
        start_nodes(3);
        cluster_.start_engine("tagging", "z1", {"--chunk_ms=10"});
        cluster_.start_engine("tagging", "z2", {"--chunk_ms=10"});
        for (const char* zone : {"z1", "z2"}) {
            services_.push_back(
                cluster_.start_service("ledger", zone, {"--run_ms=50"}));
        }
        publish_and_wait_until_ready();
    }

    /// Stops a node as an operator does; returns its exit code.
    std::optional<int> stop(std::size_t node) {
        auto& running = *cluster_.nodes()[node].daemon;
        running.signal(SIGTERM);
        return running.wait_for_exit(60000);
    }

    std::vector<std::string> services_;
};

// A node is stopped while a caller goes on to use its address, which it read
// a moment before. Each request gets its answer, until the node listens no
// more and the caller knows that its request never left.
TEST_F(stop_drain_test, a_caller_at_the_old_address_loses_no_request) {
    std::atomic<bool> over{false};
    std::atomic<int> lost{0};
    std::atomic<int> answered{0};
    constexpr int caller_count = 4;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int c = 0; c < caller_count; ++c) {
        callers.emplace_back([&, c] {
            entry_client own({cluster_.nodes()[0].caller_address});
            for (int i = 0; !over; ++i) {
                const auto key =
                    "lookup-" + std::to_string(c) + "-" + std::to_string(i);
                net::http_request r;
                r.method = "POST";
                r.target = "/v1/requests";
                r.body = wire::to_json(make_request(key, i % 4 != 0));
                const auto result =
                    own.send_to(cluster_.nodes()[0].caller_address, r, 20000);
                const auto* failure = std::get_if<net::http_failure>(&result);
                if (failure == nullptr) {
                    ++answered;
                } else if (failure->status == net::delivery_status::lost) {
                    ++lost;
                }
            }
        });
    }
    ASSERT_TRUE(eventually([&] { return answered > 20; }));
    EXPECT_EQ(stop(0), 0) << cluster_.nodes()[0].daemon->output();
    over = true;
    for (auto& c : callers) {
        c.join();
    }
    EXPECT_EQ(lost, 0);
}

// Every instance is replaced, one after the other, under the load of a
// trainer and an application. Nobody but the operators notices.
TEST_F(stop_drain_test, a_rolling_replacement_cuts_nothing_off) {
    auto& app = cluster_.start_client("app", "kiosk", {"--seconds=25"});
    auto& trainer = cluster_.start_client(
        "trainer", "tagger",
        {"--steps=4", "--groups=8", "--train_ms=500",
         "--weights=" + base::to_string(cluster_.address_of("weights"))});
    for (std::size_t i = 0; i < cluster_.nodes().size(); ++i) {
        EXPECT_EQ(stop(i), 0) << cluster_.nodes()[i].daemon->output();
        cluster_.restart_node(i);
        ASSERT_TRUE(cluster_.wait_until_ready());
    }
    EXPECT_EQ(app.wait_for_exit(120000), 0);
    const auto seen = app.output();
    EXPECT_NE(seen.find("\"lost\":0"), std::string::npos) << seen;
    EXPECT_NE(seen.find("\"wrong\":0"), std::string::npos) << seen;
    EXPECT_NE(seen.find("\"unknown\":0"), std::string::npos) << seen;
    EXPECT_EQ(trainer.wait_for_exit(120000), 0) << trainer.output();
    EXPECT_NE(trainer.output().find("\"untrue\":0"), std::string::npos)
        << trainer.output();
}

} // namespace
} // namespace hibiscus::testing
