#include "entry/entry_harness.hpp"
#include "entry/misbehaving_client.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <string>
#include <vector>

namespace hibiscus::testing {

namespace {

/// Time limit of the routes, and how long a stream takes, in ms.
constexpr int route_timeout_ms = 20000;
constexpr int stream_ms = 4000;

/// One node that stops while requests arrive.
class entry_late_request_test : public ::testing::Test,
                                protected entry_harness {
protected:
    void start_and_stop() {
        for (auto& sampler : samplers_) {
            sampler->set_event_interval_ms(stream_ms / events_per_run);
        }
        publish_configuration(1, route_timeout_ms);
        start_node("n1");
        ASSERT_TRUE(wait_until_ready("n1"));
        ASSERT_TRUE(run_until([&] {
            return call("n1", "GET", "/look/x", {{"Request-Id", "first"}})
                       .status == 200;
        }));
        nodes_.at("n1")->signal(SIGTERM);
        stopped_at_ = clock_.now();
    }

    void run_until_ms(base::millis ms) {
        run_until([&] { return clock_.now() - stopped_at_ >= ms; });
    }

    /// Sends the head of a request now and its last byte after `pause_ms`.
    misbehaving_client& send(const std::string& id, const std::string& target,
                             base::millis pause_ms,
                             const std::string& fields = "Model: m\r\n") {
        clients_.push_back(std::make_unique<misbehaving_client>(
            io_, base::endpoint{"127.0.0.1", ports_.at("n1").front()},
            send_in_order(
                send_once(make_head(id, target, fields + "Content-Length: 1")),
                send_once("x")),
            pause_ms));
        return *clients_.back();
    }

    void run_until_exit() {
        EXPECT_TRUE(run_until([&] { return !nodes_.at("n1")->is_running(); }));
        EXPECT_EQ(nodes_.at("n1")->wait_for_exit(0), 0);
        run_until([&] {
            return std::all_of(clients_.begin(), clients_.end(),
                               [](const auto& c) { return c->is_closed(); });
        });
    }

    bool was_executed(const std::string& id) const {
        return lookup_server_.executed_ids().count(id) != 0 ||
               samplers_[0]->executed_ids().count(id) != 0 ||
               samplers_[1]->executed_ids().count(id) != 0;
    }

    base::clock clock_;
    base::millis stopped_at_ = 0;
    std::vector<std::unique_ptr<misbehaving_client>> clients_;
};

// Guards against requests that are passed on too late and cut at the exit.
TEST_F(entry_late_request_test, a_request_that_outlasts_the_exit_is_rejected) {
    start_and_stop();
    run_until_ms(2000);
    const std::vector<std::string> targets{"/plain-stream/x", "/stream/x",
                                           "/once/x"};
    for (const auto& target : targets) {
        send("late" + target, target, 2100);
    }
    run_until_exit();
    for (std::size_t n = 0; n < targets.size(); ++n) {
        EXPECT_EQ(clients_[n]->status(), 503) << clients_[n]->received();
        EXPECT_NE(clients_[n]->received().find("Retry-After: "),
                  std::string::npos);
        EXPECT_FALSE(was_executed("late" + targets[n]));
    }
}

TEST_F(entry_late_request_test, requests_that_end_before_the_exit_are_served) {
    start_and_stop();
    auto& early = send("early", "/plain-stream/x", 100);
    run_until_ms(2000);
    auto& late = send("late", "/once/x", 2100, "Deadline-Ms: 1000\r\n");
    run_until_exit();
    EXPECT_EQ(early.status(), 200);
    EXPECT_NE(early.received().find("early." + std::to_string(events_per_run)),
              std::string::npos);
    EXPECT_EQ(late.status(), 200) << late.received();
}

} // namespace

} // namespace hibiscus::testing
