#include "fleet_simulation.hpp"

#include <gtest/gtest.h>

namespace hibiscus::testing {
namespace {

constexpr unsigned seeds = 5;
constexpr base::millis press_start_ms = 5000;
constexpr base::millis warm_up_ms = 10000;
constexpr base::millis press_end_ms = 40000;

/// Returns the requests in time per second under a load of `load` times what
/// the servers can serve.
double goodput(fleet_simulation::options options, double load) {
    double in_time = 0;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        fleet_simulation fleet(options);
        fleet.add_callers("a", 0.7 * fleet.room_per_s(), press_start_ms);
        fleet.run_until(press_start_ms);
        fleet.add_callers("a", load * fleet.room_per_s(), press_end_ms);
        fleet.run_until(warm_up_ms);
        fleet.take_counts();
        fleet.run_until(press_end_ms);
        in_time += fleet.take_counts()["a"].in_time;
    }
    return in_time / seeds * 1000 /
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

/// What callers get in five seconds that begin some time after a press.
struct after_press {
    int sent = 0;
    /// Responses in time, to these callers and to all.
    int in_time = 0;
    int all_in_time = 0;
};

after_press play_after_press(base::millis delay_ms) {
    after_press result;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        fleet_simulation::options o;
        o.seed = seed;
        fleet_simulation fleet(o);
        fleet.add_callers("a", 2 * fleet.room_per_s(), 20000);
        fleet.run_until(20000);
        const auto begin = 20000 + delay_ms;
        fleet.add_callers("b", 0.8 * fleet.room_per_s(), begin);
        fleet.run_until(begin);
        fleet.take_counts();
        fleet.add_callers("c", 0.8 * fleet.room_per_s(), begin + 5000);
        fleet.run_until(begin + 5000 + fleet_simulation::deadline_ms);
        auto counts = fleet.take_counts();
        result.sent += counts["c"].sent;
        result.in_time += counts["c"].in_time;
        for (const auto& row : counts) {
            result.all_in_time += row.second.in_time;
        }
    }
    return result;
}

TEST(load_test, a_press_that_has_ended_costs_no_goodput) {
    const auto got = play_after_press(0);
    EXPECT_GE(got.all_in_time, 0.9 * got.sent);
}

TEST(load_test, five_seconds_after_a_press_callers_are_served_as_before) {
    const auto got = play_after_press(5000);
    EXPECT_GE(got.in_time, 0.95 * got.sent);
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
    constexpr base::millis end_ms = 8 * press_end_ms;
    const double share = fleet.room_per_s() / 2;
    fleet.add_callers("greedy", 100 * share / 10, end_ms, -1, true);
    for (int n = 0; n < 10; ++n) {
        fleet.add_callers("w" + std::to_string(n), share / 10, end_ms);
    }
    fleet.run_until(warm_up_ms);
    fleet.take_counts();
    fleet.run_until(end_ms);
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
