#include "admission_control.hpp"

#include "forwarder_harness.hpp"

#include <gtest/gtest.h>

namespace hibiscus::testing {

namespace {

/// A node of a fleet whose other nodes want all of a service.
class admission_test : public ::testing::Test {
protected:
    admission_test() {
        harness_.start_admission([this] { return &others_; });
        others_.push_back(&demands_);
    }

    void press() {
        demands_[make_service_name(0)] = {{1000, 0}, 1, 50000, 6, 6};
        harness_.run_for(std::chrono::milliseconds(500));
    }

    std::shared_ptr<request_result> send(int caller) {
        return harness_.send_request(idempotent_route, caller, {}, 20);
    }

    membership::service_demands demands_;
    std::vector<const membership::service_demands*> others_;
    forwarder_harness harness_;
};

TEST_F(admission_test, requests_are_sent_at_once_without_a_shortage) {
    std::vector<std::shared_ptr<request_result>> results;
    results.reserve(20);
    for (int n = 0; n < 20; ++n) {
        results.push_back(send(n));
    }
    EXPECT_EQ(harness_.finish_and_check(), "");
    for (const auto& r : results) {
        EXPECT_EQ(r->status, 200);
    }
    EXPECT_EQ(harness_.metrics().find("reason=\"shortage\""),
              std::string::npos);
}

// Guards against requests that fill the queues of servers which have no room
// for them.
TEST_F(admission_test, requests_above_the_share_are_rejected_and_not_sent) {
    send(0);
    ASSERT_TRUE(harness_.run_until_sends(1));
    EXPECT_EQ(harness_.finish_and_check(), "");
    press();
    std::vector<std::shared_ptr<request_result>> results;
    results.reserve(20);
    for (int n = 0; n < 20; ++n) {
        results.push_back(send(n));
    }
    EXPECT_EQ(harness_.finish_and_check(), "");
    int rejected = 0;
    for (const auto& r : results) {
        rejected += r->status == 503 ? 1 : 0;
    }
    EXPECT_GT(rejected, 0);
    EXPECT_LE(harness_.total_sends(), 1 + 20 - rejected);
    EXPECT_NE(harness_.metrics().find("reason=\"shortage\""),
              std::string::npos);
}

/// Runs callbacks when a test says so.
struct manual_timers {
    std::vector<std::function<void()>> callbacks;

    void run() {
        for (const auto& callback : std::exchange(callbacks, {})) {
            callback();
        }
    }
};

// Guards against requests that are sent for callers who have left.
TEST(admission_control_test, request_cancelled_while_queued_is_never_admitted) {
    const auto time = std::make_shared<base::manual_time>();
    const null_output null;
    entry::node_state state({}, base::clock(time), null.descriptor());
    manual_timers timers;
    const membership::service_demands demands{{"s", {{1000, 0}, 1, 500, 6, 6}}};
    const std::vector<const membership::service_demands*> others{&demands};
    entry::admission_control admission(
        state,
        [&](base::millis, std::function<void()> callback) {
            timers.callbacks.push_back(std::move(callback));
        },
        {[&] { return &others; }, [] { return nullptr; },
         [] { return false; }});
    samplers::registration server;
    server.service = samplers::service_name("s");
    server.slots = 6;
    state.samplers.put(samplers::sampler_id("a"), server);
    time->advance(10000);

    std::vector<int> admitted;
    const auto request = [&](int number) {
        entry::forward_request f;
        f.service = server.service;
        f.deadline = state.clock.now() + 1000000;
        return admission.request(f, [&, number](const auto& decision) {
            if (decision.outcome == admission::verdict::admitted) {
                admitted.push_back(number);
            }
        });
    };
    request(0);
    admission.start();
    request(1);
    const auto second = request(2);
    request(3);
    EXPECT_EQ(admitted, (std::vector<int>{0, 1}));
    admission.cancel(server.service, second);
    for (int n = 0; n < 1000; ++n) {
        time->advance(100);
        timers.run();
    }
    EXPECT_EQ(admitted, (std::vector<int>{0, 1, 3}));
}

} // namespace

} // namespace hibiscus::testing
