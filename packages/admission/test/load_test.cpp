#include "fleet_simulation.hpp"

#include <gtest/gtest.h>

namespace hibiscus::testing {
namespace {

constexpr base::millis press_start_ms = 5000;
constexpr base::millis warm_up_ms = 10000;
constexpr base::millis press_end_ms = 40000;

/// Returns the requests in time per second under a load of `load` times what
/// the servers can serve.
double goodput(const fleet_simulation::options& options, double load) {
    fleet_simulation fleet(options);
    fleet.add_callers("a", 0.7 * fleet.room_per_s(), press_start_ms);
    fleet.run_until(press_start_ms);
    fleet.add_callers("a", load * fleet.room_per_s(), press_end_ms);
    fleet.run_until(warm_up_ms);
    fleet.take_counts();
    fleet.run_until(press_end_ms);
    return fleet.take_counts()["a"].in_time * 1000.0 /
           static_cast<double>(press_end_ms - warm_up_ms);
}

double goodput_at_the_room() {
    return goodput({}, 1);
}

TEST(load_test, twice_the_room_costs_no_goodput) {
    EXPECT_GE(goodput({}, 2), 0.9 * goodput_at_the_room());
}

// Guards against repeats that take the room of first attempts.
TEST(load_test, without_admission_twice_the_room_costs_goodput) {
    fleet_simulation::options o;
    o.admission = false;
    EXPECT_LT(goodput(o, 2), 0.7 * goodput_at_the_room());
}

TEST(load_test, a_third_of_the_nodes_with_old_shares_costs_no_goodput) {
    fleet_simulation::options o;
    o.nodes_with_old_view = 1.0 / 3;
    EXPECT_GE(goodput(o, 2), 0.9 * goodput_at_the_room());
}

TEST(load_test, shares_add_up_to_the_room) {
    fleet_simulation fleet({});
    fleet.add_callers("a", 2 * fleet.room_per_s(), press_end_ms);
    fleet.run_until(press_end_ms);
    EXPECT_NEAR(fleet.share_sum(), fleet.room(), 0.1 * fleet.room());
}

TEST(load_test, share_of_a_node_that_falls_idle_goes_to_the_others) {
    fleet_simulation::options o;
    o.nodes = 2;
    fleet_simulation fleet(o);
    const double per_s = 2 * fleet.room_per_s();
    fleet.add_callers("a", per_s, press_end_ms, 0);
    fleet.add_callers("b", per_s, press_start_ms * 2, 1);
    fleet.run_until(press_start_ms * 2);
    EXPECT_LT(fleet.level(0), 0.65 * fleet.room());
    fleet.run_until(press_start_ms * 2 + 3000);
    EXPECT_GT(fleet.level(0), 0.7 * fleet.room());
}

TEST(load_test, after_the_press_callers_are_served_as_before) {
    fleet_simulation fleet({});
    fleet.add_callers("a", 2 * fleet.room_per_s(), 20000);
    fleet.run_until(20000);
    fleet.take_counts();
    fleet.add_callers("b", 0.8 * fleet.room_per_s(), 25000);
    fleet.run_until(30000);
    const auto b = fleet.take_counts()["b"];
    EXPECT_GE(b.in_time, 0.9 * b.sent);
}

TEST(load_test, load_below_the_room_is_not_limited) {
    fleet_simulation fleet({});
    fleet.add_callers("a", 0.7 * fleet.room_per_s(), press_end_ms);
    fleet.run_until(press_end_ms + 5000);
    const auto a = fleet.take_counts()["a"];
    EXPECT_EQ(a.rejected, 0);
    EXPECT_GE(a.in_time, 0.99 * a.sent);
}

TEST(load_test, one_workspace_with_a_hundred_times_its_share_starves_none) {
    fleet_simulation fleet({});
    const double share = fleet.room_per_s() / 2;
    fleet.add_callers("greedy", 100 * share / 10, press_end_ms, -1, true);
    for (int n = 0; n < 10; ++n) {
        fleet.add_callers("w" + std::to_string(n), share / 10, press_end_ms);
    }
    fleet.run_until(warm_up_ms);
    fleet.take_counts();
    fleet.run_until(press_end_ms);
    auto counts = fleet.take_counts();
    for (int n = 0; n < 10; ++n) {
        const auto& c = counts["w" + std::to_string(n)];
        EXPECT_GE(c.in_time, 0.5 * c.sent) << n;
    }
}

TEST(load_test, rejections_come_at_once) {
    fleet_simulation fleet({});
    fleet.add_callers("a", 2 * fleet.room_per_s(), press_end_ms);
    fleet.run_until(press_end_ms);
    const auto a = fleet.take_counts()["a"];
    EXPECT_GT(a.rejected, 0);
    EXPECT_LE(a.late_rejections, a.rejected / 10);
}

} // namespace
} // namespace hibiscus::testing
