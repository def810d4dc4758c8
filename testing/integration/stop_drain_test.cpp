#include "integration/traffic_fixture.hpp"

#include <atomic>
#include <csignal>
#include <thread>

namespace hibiscus::testing {
namespace {

/// Three nodes, two engines and two instances of the ledger service.
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

    /// Stops a node with SIGTERM, as operators do, and returns its exit code.
    std::optional<int> stop(std::size_t node_index) {
        auto& daemon = *cluster_.nodes()[node_index].daemon;
        daemon.signal(SIGTERM);
        return daemon.wait_for_exit(60000);
    }

    std::vector<std::string> services_;
};

// Callers keep sending to the address of a node that is being stopped. Every
// request must get a response until the node stops listening; after that
// connections are refused, so callers know that their requests were not sent.
TEST_F(stop_drain_test, a_caller_at_the_old_address_loses_no_request) {
    std::atomic<bool> stopped{false};
    std::atomic<int> lost{0};
    std::atomic<int> responded{0};
    constexpr int caller_count = 4;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int caller = 0; caller < caller_count; ++caller) {
        callers.emplace_back([&, caller] {
            entry_client client({cluster_.nodes()[0].caller_address});
            for (int i = 0; !stopped; ++i) {
                const auto key = "lookup-" + std::to_string(caller) + "-" +
                                 std::to_string(i);
                net::http_request request;
                request.method = "POST";
                request.target = "/v1/requests";
                request.body = wire::to_json(make_request(key, i % 4 != 0));
                const auto result = client.send_to(
                    cluster_.nodes()[0].caller_address, request, 20000);
                const auto* failure = std::get_if<net::http_failure>(&result);
                if (failure == nullptr) {
                    ++responded;
                } else if (failure->status == net::delivery_status::lost) {
                    ++lost;
                }
            }
        });
    }
    ASSERT_TRUE(eventually([&] { return responded > 20; }));
    EXPECT_EQ(stop(0), 0) << cluster_.nodes()[0].daemon->output();
    stopped = true;
    for (auto& thread : callers) {
        thread.join();
    }
    EXPECT_EQ(lost, 0);
}

// All nodes are stopped and restarted one after the other under the load of a
// trainer and an application. Clients must not observe any failure.
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
    const auto summary = app.output();
    EXPECT_NE(summary.find("\"lost\":0"), std::string::npos) << summary;
    EXPECT_NE(summary.find("\"wrong\":0"), std::string::npos) << summary;
    EXPECT_NE(summary.find("\"unknown\":0"), std::string::npos) << summary;
    EXPECT_EQ(trainer.wait_for_exit(120000), 0) << trainer.output();
    EXPECT_NE(trainer.output().find("\"untrue\":0"), std::string::npos)
        << trainer.output();
}

} // namespace
} // namespace hibiscus::testing
