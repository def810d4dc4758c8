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

/// The admission of one node in virtual time, while other nodes want all of a
/// service.
class admission_control_test : public ::testing::Test {
protected:
    admission_control_test() {
        samplers::registration server;
        server.service = service_;
        server.slots = 6;
        state_.samplers.put(samplers::sampler_id("a"), server);
        time_->advance(10000);
        // The first request makes the service known, the others are limited.
        request(0);
        admission_.start();
    }

    std::uint64_t request(int number, const char* kind = "request",
                          base::millis latency_target_ms = 0) {
        entry::forward_request f;
        f.kind = kind;
        f.service = service_;
        f.deadline = state_.clock.now() + 1000000;
        f.latency_target_ms = latency_target_ms;
        return admission_.request(f, [this, number](const auto& decision) {
            (decision.outcome == admission::verdict::admitted ? admitted_
                                                              : rejected_)
                .push_back(number);
        });
    }

    void run_for(base::millis ms) {
        for (constexpr base::millis step_ms = 100; ms > 0; ms -= step_ms) {
            time_->advance(step_ms);
            for (const auto& callback : std::exchange(callbacks_, {})) {
                callback();
            }
        }
    }

    const samplers::service_name service_{"s"};
    std::vector<int> admitted_;
    std::vector<int> rejected_;
    const std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    const null_output null_;
    entry::node_state state_{{}, base::clock(time_), null_.descriptor()};
    std::vector<std::function<void()>> callbacks_;
    const membership::service_demands demands_{
        {"s", {{1000, 1000}, 1, 500, 6, 6}}};
    const std::vector<const membership::service_demands*> others_{&demands_};
    entry::admission_control admission_{
        state_,
        [this](base::millis, std::function<void()> callback) {
            callbacks_.push_back(std::move(callback));
        },
        {[this] { return &others_; }, [] { return nullptr; },
         [] { return false; }}};
};

// Guards against requests that are sent for callers who have left.
TEST_F(admission_control_test, request_of_a_caller_who_left_is_never_admitted) {
    request(1);
    const auto second = request(2);
    request(3);
    EXPECT_EQ(admitted_, (std::vector<int>{0, 1}));
    admission_.cancel(service_, second);
    run_for(100000);
    EXPECT_EQ(admitted_, (std::vector<int>{0, 1, 3}));
}

// Guards against reward calls that are rejected at once and sent again at once.
TEST_F(admission_control_test, reward_calls_wait_beyond_the_target_of_a_route) {
    constexpr base::millis target_ms = 100;
    for (int n = 1; n <= 3; ++n) {
        request(n, "reward", target_ms);
        request(-n, "request", target_ms);
    }
    EXPECT_EQ(rejected_, (std::vector<int>{-2, -3}));
    run_for(100000);
    EXPECT_EQ(rejected_.size(), 2U);
    EXPECT_EQ(admitted_.size(), 5U);
}

} // namespace

} // namespace hibiscus::testing
