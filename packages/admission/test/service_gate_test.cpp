#include "hibiscus/admission/service_gate.hpp"

#include <gtest/gtest.h>

namespace hibiscus::admission {
namespace {

constexpr base::millis far = 1000000;

class service_gate_test : public ::testing::Test {
protected:
    gate_decision arrive(std::uint64_t number, base::millis now,
                         base::millis deadline = far) {
        return gate_.on_arrival(
            {number, traffic_kind::callers, 5, "w", "r", deadline}, now);
    }

    /// Limits the callers to `slots`.
    void limit(double slots, base::millis now) {
        share_levels levels;
        levels.room = slots;
        levels.demand.callers = 2 * slots;
        levels.level.callers = slots;
        gate_.set_levels(levels, now);
    }

    service_gate gate_{gate_settings{}};
};

// Guards against a share that goes to other nodes between two bursts.
TEST_F(service_gate_test, a_pause_between_bursts_keeps_the_demand) {
    base::millis now = 0;
    for (int burst = 0; burst < 50; ++burst, now += 100) {
        for (std::uint64_t n = 0; n < 50; ++n) {
            arrive(n, now);
        }
        EXPECT_GT(gate_.demand(now + 90).slots.callers, 0);
    }
    EXPECT_EQ(gate_.demand(now + 1000).slots.callers, 0);
}

TEST_F(service_gate_test,
       rejection_names_the_time_until_the_queue_has_drained) {
    limit(0.1, 0);
    arrive(1, 1000);
    EXPECT_EQ(arrive(2, 1000).outcome, verdict::queued);
    const auto rejected = arrive(3, 1000, 1500);
    EXPECT_EQ(rejected.outcome, verdict::rejected);
    EXPECT_GT(rejected.retry_after_ms, 900);
    EXPECT_LT(rejected.retry_after_ms, 2100);
}

TEST_F(service_gate_test, queue_empties_when_the_shortage_ends) {
    limit(0.1, 0);
    arrive(1, 1000);
    EXPECT_EQ(arrive(2, 1000).outcome, verdict::queued);
    gate_.set_levels({}, 1001);
    const auto released = gate_.poll(1002);
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].decision.outcome, verdict::admitted);
    EXPECT_EQ(gate_.queued(), 0U);
}

TEST_F(service_gate_test,
       without_a_view_rejections_of_servers_reduce_the_rate) {
    base::millis now = 0;
    for (; now < 10000; now += 50) {
        arrive(static_cast<std::uint64_t>(now), now);
        if (now % 100 == 0) {
            gate_.on_rejected("a", now);
        } else {
            gate_.on_response("a", "r", 100, now);
        }
        if (now % 500 == 0) {
            gate_.adapt_alone(now);
        }
    }
    EXPECT_TRUE(gate_.is_limiting());
    const auto limited = gate_.rates().callers;
    EXPECT_LT(limited, 1);
    for (; now < 30000; now += 50) {
        gate_.on_response("a", "r", 100, now);
        gate_.adapt_alone(now);
    }
    EXPECT_GT(gate_.rates().callers, limited);
}

TEST_F(service_gate_test, repeats_are_free_unless_there_is_no_room) {
    for (int n = 0; n < 100; ++n) {
        EXPECT_TRUE(gate_.may_repeat(1, 1000));
    }
    limit(0.1, 1000);
    int repeats = 0;
    for (int n = 0; n < 100; ++n) {
        repeats += gate_.may_repeat(1, 1000) ? 1 : 0;
    }
    EXPECT_LE(repeats, 2);
}

} // namespace
} // namespace hibiscus::admission
