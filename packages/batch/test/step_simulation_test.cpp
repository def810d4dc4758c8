#include "step_simulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <vector>

namespace hibiscus::batch::simulation {

namespace {

constexpr base::millis minute_ms = 60000;

/// Returns servers with six slots, of which `full_speed_loads` can load weights
/// at full speed.
server_config small_servers(int count, int full_speed_loads) {
    server_config servers;
    servers.server_count = count;
    servers.slots = 6;
    servers.event_ms = 37.6;
    servers.full_speed_loads = full_speed_loads;
    servers.report_lag_ms = 200;
    return servers;
}

/// Returns a trainer whose steps have 160 items.
trainer_config large_steps() {
    trainer_config trainer;
    trainer.groups = 20;
    trainer.required_groups = 18;
    trainer.max_events = 170;
    trainer.train_ms = 1000;
    return trainer;
}

/// Simulates a minute with each seed and sums up the results of each trainer.
std::vector<trainer_result>
simulate_minutes(const server_config& servers,
                 const std::vector<trainer_config>& trainers,
                 unsigned seeds = 4) {
    std::vector<trainer_result> sum(trainers.size());
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const auto results =
            step_simulation(servers, trainers, seed).run(minute_ms);
        for (std::size_t n = 0; n < results.size(); ++n) {
            sum[n].submitted_steps += results[n].submitted_steps;
            sum[n].ended_steps += results[n].ended_steps;
            sum[n].steps_in_time += results[n].steps_in_time;
            sum[n].ready_server_sum += results[n].ready_server_sum;
        }
    }
    for (const auto& r : sum) {
        std::printf("submitted %d ended %d in time %d servers ready %d\n",
                    r.submitted_steps, r.ended_steps, r.steps_in_time,
                    r.ready_server_sum);
    }
    return sum;
}

/// Returns the share of a trainer's ended steps that ended in time.
double share_in_time(const trainer_result& r) {
    return static_cast<double>(r.steps_in_time) / std::max(1, r.ended_steps);
}

// These tests guard against two faults: assigning loads by the number of the
// version, and not using a server for any model while it loads weights of one.
// With both of them many steps ended late.

TEST(step_simulation_test, steps_of_trainers_that_share_servers_end_in_time) {
    // Three trainers share eleven servers and announce more versions than these
    // can load. A step whose weights are on only one or two servers ends late
    // and delays all later steps of its trainer.
    const trainer_config usual;
    for (const auto& r : simulate_minutes({}, {usual, usual, usual})) {
        EXPECT_GE(share_in_time(r), 0.95);
    }
}

TEST(step_simulation_test, a_late_trainer_does_not_delay_the_others) {
    // One trainer is nine seconds behind the two others, so its versions always
    // have lower numbers. A rollout that assigned loads by version number would
    // give it all loads, and the steps of the others would wait for weights.
    const trainer_config usual;
    trainer_config late;
    late.start_delay_ms = 9000;
    const auto r = simulate_minutes({}, {usual, usual, late});
    EXPECT_GE(share_in_time(r[0]), 0.95);
    EXPECT_GE(share_in_time(r[1]), 0.95);
    EXPECT_GE(share_in_time(r[2]), 0.95);
}

TEST(step_simulation_test, slow_loads_are_shared_fairly) {
    // A load of larger weights takes 2.5 s, so each version reaches one server
    // before the next is announced. No trainer may be starved in favor of
    // another.
    server_config servers;
    servers.load_ms = 2500;
    const trainer_config usual;
    const auto r = simulate_minutes(servers, {usual, usual, usual});
    const auto [worst, best] = std::minmax(
        {share_in_time(r[0]), share_in_time(r[1]), share_in_time(r[2])});
    EXPECT_GE(worst, 0.6);
    EXPECT_LE(best - worst, 0.2);
}

TEST(step_simulation_test,
     steps_in_a_large_fleet_find_servers_with_their_weights) {
    // Three trainers share fifty servers with six slots each and submit 160
    // items at once. If few servers have a step's weights, its items queue, and
    // an item that is longer than its caller estimated starts seconds late.
    // Three quarters of the items must find a slot at once. With loads on a
    // sixth of the servers, and no new load before the end of another was
    // reported, a step found only 19.1 servers.
    const auto servers = small_servers(50, 10);
    const auto trainer = large_steps();
    for (const auto& r :
         simulate_minutes(servers, {trainer, trainer, trainer}, 1)) {
        EXPECT_GE(share_in_time(r), 0.95);
        EXPECT_GE(r.ready_server_sum, 20 * r.submitted_steps);
    }
}

TEST(step_simulation_test,
     a_large_fleet_loads_only_the_weights_that_steps_need) {
    // Three trainers with 160 items a step share four hundred servers with six
    // slots each. Guards against loading every version on all servers: most of
    // these were ordered to load the next version before they got a run, and
    // the job owner polled each of them for the end of its load. Two steps
    // overlap, and half as many slots more are kept free.
    const auto servers = small_servers(400, 80);
    const auto trainer = large_steps();
    step_simulation simulation(servers, {trainer, trainer, trainer}, 1);
    int versions = 0;
    for (const auto& r : simulation.run(minute_ms)) {
        EXPECT_GE(share_in_time(r), 0.95);
        versions += r.ended_steps;
    }
    const int items = trainer.groups * trainer.group_size;
    EXPECT_LE(simulation.load_count(), versions * 3 * items / servers.slots);
}

TEST(step_simulation_test, steps_in_a_fleet_of_thousands_use_a_part_of_it) {
    // Eight trainers with 160 items a step share two thousand servers. Guards
    // against runs on all of them: each needs a connection and weights of its
    // own, and the job owner would rank thousands of servers in each tick.
    const auto servers = small_servers(2000, 400);
    const std::vector<trainer_config> trainers(8, large_steps());
    step_simulation simulation(servers, trainers, 1);
    const auto results = simulation.run(minute_ms / 3);
    int open_items = 0;
    for (const auto& r : results) {
        EXPECT_GE(share_in_time(r), 0.95);
        open_items += 2 * trainers[0].groups * trainers[0].group_size;
    }
    EXPECT_LE(simulation.used_server_count(), 4 * open_items / servers.slots);
}

// Guards against an estimate that follows the servers in place of the work.
TEST(step_simulation_test, the_demand_is_what_ends_steps_in_time) {
    const std::vector<trainer_config> trainers(3, large_steps());
    constexpr base::millis two_steps_ms = 8000;
    step_simulation starved(small_servers(14, 9), trainers, 1);
    const auto starved_results = starved.run(two_steps_ms);
    ASSERT_TRUE(starved.demand());
    step_simulation ample(small_servers(60, 9), trainers, 1);
    ample.run(two_steps_ms);
    ASSERT_TRUE(ample.demand());
    std::printf("needed slots: %.0f with 84, %.0f with 360\n",
                starved.demand()->slots, ample.demand()->slots);
    EXPECT_NEAR(starved.demand()->slots, ample.demand()->slots,
                0.25 * ample.demand()->slots);
    const auto needed = static_cast<int>(starved.demand()->slots / 6) + 1;
    for (const auto& r :
         simulate_minutes(small_servers(needed, 9), trainers, 1)) {
        EXPECT_GE(share_in_time(r), 0.95);
    }
    for (const auto& r : simulate_minutes(small_servers(14, 9), trainers, 1)) {
        EXPECT_LT(share_in_time(r), 0.5);
    }
}

TEST(step_simulation_test, steps_of_a_single_trainer_end_in_time) {
    const trainer_config usual;
    for (const auto& r : simulate_minutes({}, {usual})) {
        EXPECT_GE(share_in_time(r), 0.95);
    }
}

/// Returns a trainer that gives up late steps and resubmits their groups.
trainer_config impatient(int groups, int group_size) {
    trainer_config trainer;
    trainer.groups = groups;
    trainer.group_size = group_size;
    trainer.required_groups = groups * 9 / 10;
    trainer.max_events = 170;
    trainer.train_ms = 1000;
    trainer.give_up_ms = 12000;
    return trainer;
}

/// Three trainers of unlike steps, whose load fits 30 of small_servers().
std::vector<trainer_config> unlike_trainers() {
    std::vector<trainer_config> trainers{impatient(14, 8), impatient(14, 16),
                                         impatient(28, 8)};
    trainers[1].start_delay_ms = 1300;
    trainers[2].start_delay_ms = 2700;
    return trainers;
}

/// Returns the features with or without the choice of groups.
base::feature_set choosing(bool chooses) {
    base::feature_set features;
    features.set_enabled(base::feature::choose_groups, chooses);
    return features;
}

/// Returns the part of its wanted groups that a trainer had in time, of all
/// steps for which there was time.
double part_in_time(const trainer_result& r, const trainer_config& trainer,
                    base::millis duration) {
    const auto steps = (duration - read_target_ms) / step_interval_ms;
    return static_cast<double>(r.groups_in_time) /
           static_cast<double>(steps * trainer.required_groups);
}

/// Returns the work in time as a part of what the servers could do.
double work_in_time(const std::vector<trainer_result>& results,
                    const server_config& servers, base::millis duration) {
    double events = 0;
    for (const auto& r : results) {
        events += static_cast<double>(r.events_in_time);
    }
    const double full_event_ms =
        servers.event_ms * (1 + servers.slowdown_per_run * (servers.slots - 1));
    return events * full_event_ms /
           static_cast<double>(servers.server_count * servers.slots * duration);
}

TEST(step_simulation_test, a_third_of_the_servers_finishes_whole_groups) {
    // In the order of targets every step is late and almost none is in time.
    const auto servers = small_servers(10, 2);
    const auto trainers = unlike_trainers();
    std::map<bool, double> work;
    for (const bool chooses : {false, true}) {
        step_simulation simulation(servers, trainers, 1, choosing(chooses));
        const auto results = simulation.run(minute_ms);
        work[chooses] = work_in_time(results, servers, minute_ms);
        double least = 1;
        double most = 0;
        for (std::size_t n = 0; n < results.size(); ++n) {
            const double part =
                part_in_time(results[n], trainers[n], minute_ms);
            std::printf("part in time %.2f\n", part);
            least = std::min(least, part);
            most = std::max(most, part);
        }
        EXPECT_TRUE(!chooses || least >= 0.6 * most);
    }
    std::printf("work in time %.3f, without %.3f\n", work[true], work[false]);
    EXPECT_GE(work[true], 0.55);
    EXPECT_GE(work[true], 2 * work[false]);
}

TEST(step_simulation_test, load_that_fits_is_placed_as_before) {
    const auto servers = small_servers(38, 8);
    step_simulation with(servers, unlike_trainers(), 1, choosing(true));
    step_simulation without(servers, unlike_trainers(), 1, choosing(false));
    with.run(minute_ms / 2);
    without.run(minute_ms / 2);
    EXPECT_EQ(with.scheduler().shortage_count(), 0U);
    EXPECT_EQ(with.placements(), without.placements());
}

TEST(step_simulation_test, steps_are_in_time_soon_after_a_shortage) {
    const auto trainers = unlike_trainers();
    step_simulation simulation(small_servers(10, 8), trainers, 1);
    simulation.run(30000);
    EXPECT_FALSE(simulation.scheduler().shortages().empty());
    simulation.set_server_count(45);
    // Steps submitted within 5 s may still be late.
    const auto before = simulation.run(30000 + 5000 + read_target_ms);
    const auto after = simulation.run(2 * minute_ms);
    for (std::size_t n = 0; n < trainers.size(); ++n) {
        const int steps = after[n].ended_steps - before[n].ended_steps;
        EXPECT_GE(steps, 15);
        EXPECT_GE(after[n].groups_in_time - before[n].groups_in_time,
                  steps * trainers[n].required_groups * 98 / 100);
    }
}

TEST(step_simulation_test, an_owner_replaced_in_a_shortage_goes_on) {
    const auto servers = small_servers(10, 2);
    step_simulation simulation(servers, unlike_trainers(), 1);
    simulation.run(minute_ms / 2);
    simulation.replace_owner();
    const auto results = simulation.run(minute_ms);
    EXPECT_GE(work_in_time(results, servers, minute_ms), 0.5);
    EXPECT_EQ(simulation.scheduler().shortage_count(), 1U);
}

TEST(step_simulation_test, a_step_of_eight_items_beside_one_of_2000) {
    const base::millis duration = minute_ms / 2;
    const std::vector<trainer_config> trainers{impatient(250, 8),
                                               impatient(2, 4)};
    step_simulation simulation(small_servers(15, 3), trainers, 1);
    const auto results = simulation.run(duration);
    EXPECT_GE(part_in_time(results[1], trainers[1], duration), 0.9);
    EXPECT_GE(results[0].groups_in_time, 50);
}

} // namespace

} // namespace hibiscus::batch::simulation
