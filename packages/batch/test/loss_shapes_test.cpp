#include "loss_simulation.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>

namespace hibiscus::batch::simulation {

namespace {

/// An item may be at no server for this long.
constexpr base::millis max_idle_ms = 5000;

/// A step runs out of time after this.
constexpr base::millis step_time_ms = 12000;

/// Time in which all ends under one item have come.
constexpr base::millis long_time_ms = 40000;

/// Servers that may end under an item that ends them at one point, and at
/// random times.
constexpr int max_ends = 3;
constexpr int max_random_ends = 4;

/// Servers that may end under an item that ends them after its connection has
/// closed, too: one of them, for each job owner, in a run that is stopped
/// before.
constexpr int max_ends_of_closed_runs = 4;

/// Time after which the loss of a silent server is known and stored.
constexpr base::millis notice_ms = 1500;

/// Run lengths after which servers crash, in ms.
constexpr std::array<base::millis, 5> lengths{410, 700, 1080, 1800, 2500};

/// What else happens when a server of the watched item crashes.
struct surroundings {
    const char* name;
    int other_crashes = 0;
    loss_simulation::chance_target others =
        loss_simulation::chance_target::not_of_watched_item;
    /// After how many crashes the job owner changes; never if 0.
    int owner_change = 0;
};

constexpr std::array<surroundings, 4> all_surroundings{{
    {"nothing else"},
    {"a neighbour crashes with each", 1},
    {"an idle server crashes with each", 1,
     loss_simulation::chance_target::idle},
    {"the owner changes after the second", 0,
     loss_simulation::chance_target::not_of_watched_item, 2},
}};

/// Returns true if the item is held back although chance crashed its servers
/// after runs of these lengths.
bool is_held_back(const std::vector<base::millis>& run_lengths,
                  const surroundings& beside) {
    loss_simulation simulation;
    std::mt19937 random(1);
    std::size_t crashes = 0;
    bool crashed = false;
    simulation.crash_when([&](const watched_run& r) {
        const bool crashes_now =
            crashes < run_lengths.size() && r.run_ms >= run_lengths[crashes];
        crashes += crashes_now ? 1 : 0;
        crashed = crashed || crashes_now;
        return crashes_now;
    });
    for (base::millis t = 0; t < step_time_ms; t += loss_simulation::step_ms) {
        simulation.run(loss_simulation::step_ms);
        if (std::exchange(crashed, false)) {
            simulation.crash_some(beside.other_crashes, beside.others, random);
            if (static_cast<int>(crashes) == beside.owner_change) {
                simulation.run(loss_simulation::down_ms);
                simulation.change_owner();
            }
        }
    }
    return simulation.is_held_back(loss_simulation::watched_item, max_idle_ms);
}

std::string join(const std::vector<base::millis>& values) {
    std::string text;
    for (const auto value : values) {
        text += (text.empty() ? "" : " ") + std::to_string(value);
    }
    return text;
}

// Guards against items that are held back since three servers crashed under
// them by chance, whatever the order and the lengths of their runs.
TEST(loss_shapes_test, an_item_that_loses_three_servers_by_chance_is_sent_on) {
    for (const auto& beside : all_surroundings) {
        int held_back = 0;
        int shapes = 0;
        for (const auto first : lengths) {
            for (const auto second : lengths) {
                for (const auto third : lengths) {
                    const bool held =
                        is_held_back({first, second, third}, beside);
                    EXPECT_FALSE(held)
                        << beside.name << ": " << join({first, second, third});
                    held_back += held ? 1 : 0;
                    ++shapes;
                }
            }
        }
        std::printf("%s: %d of %d shapes held back\n", beside.name, held_back,
                    shapes);
    }
}

/// A way in which an item ends its servers.
struct ending_shape {
    std::string name;
    std::function<bool(const watched_run&)> ends;
};

std::vector<ending_shape> shapes_at_one_point() {
    std::vector<ending_shape> shapes;
    for (const int event : {0, 1, 20, 60, 99}) {
        shapes.push_back(
            {"at event " + std::to_string(event),
             [event](const watched_run& r) { return r.text_events >= event; }});
    }
    for (const int events : {1, 3, 4, 8, 16, 24, 50}) {
        shapes.push_back({std::to_string(events) + " events after each start",
                          [events](const watched_run& r) {
                              return r.run_events >= events;
                          }});
    }
    for (const base::millis ms : {20, 100, 300, 410, 700, 1000, 2000}) {
        shapes.push_back(
            {std::to_string(ms) + " ms after each start",
             [ms](const watched_run& r) { return r.run_ms >= ms; }});
    }
    return shapes;
}

/// Returns the number of servers that an item ends.
int count_ends(const ending_shape& shape, bool silent, bool owner_changes) {
    loss_simulation simulation;
    if (silent) {
        simulation.crash_silently();
    }
    simulation.crash_when(shape.ends);
    for (base::millis t = 0; t < long_time_ms; t += loss_simulation::down_ms) {
        const int before = simulation.crash_count();
        simulation.run(loss_simulation::down_ms);
        if (owner_changes && before < 2 && simulation.crash_count() >= 2) {
            simulation.run(notice_ms);
            simulation.change_owner();
        }
    }
    return simulation.crash_count();
}

// Guards against items that end more servers because their runs speak for them.
TEST(loss_shapes_test, an_item_that_ends_servers_at_one_point_ends_three) {
    for (const bool silent : {false, true}) {
        for (const bool owner_changes : {false, true}) {
            int most = 0;
            for (const auto& shape : shapes_at_one_point()) {
                const int ends = count_ends(shape, silent, owner_changes);
                EXPECT_LE(ends, max_ends)
                    << shape.name << (silent ? ", silent" : "")
                    << (owner_changes ? ", owner changes" : "");
                most = std::max(most, ends);
            }
            std::printf("one point%s%s: %d ends at most\n",
                        silent ? ", silent" : "",
                        owner_changes ? ", owner changes" : "", most);
        }
    }
}

// Guards against items that end servers at random times for as long as their
// runs differ.
TEST(loss_shapes_test, an_item_that_ends_servers_at_random_times_ends_four) {
    std::map<int, int> counts;
    for (unsigned seed = 0; seed < 100; ++seed) {
        std::mt19937 random(seed);
        std::uniform_int_distribution<base::millis> run_length(0, 2500);
        int number = 0;
        base::millis length = 0;
        const ending_shape shape{"random", [&](const watched_run& r) {
                                     if (std::exchange(number, r.number) !=
                                         r.number) {
                                         length = run_length(random);
                                     }
                                     return r.run_ms >= length;
                                 }};
        const int ends = count_ends(shape, false, false);
        EXPECT_LE(ends, max_random_ends) << "seed " << seed;
        ++counts[ends];
    }
    for (const auto& [ends, count] : counts) {
        std::printf("random times: %d ends in %d of 100\n", ends, count);
    }
}

/// Returns the number of servers that an item ends `ms` after they got it.
int count_delayed_ends(base::millis ms, bool also_if_closed, bool silent,
                       bool owner_changes) {
    loss_simulation simulation;
    if (silent) {
        simulation.crash_silently();
    }
    simulation.crash_after(ms, also_if_closed);
    for (base::millis t = 0; t < long_time_ms; t += loss_simulation::down_ms) {
        const int before = simulation.crash_count();
        simulation.run(loss_simulation::down_ms);
        if (owner_changes && before < 2 && simulation.crash_count() >= 2) {
            simulation.run(notice_ms);
            simulation.change_owner();
        }
    }
    return simulation.crash_count();
}

// Guards against items that end servers after their runs were stopped.
TEST(loss_shapes_test, an_item_that_ends_servers_after_a_while_ends_few) {
    for (const bool also_if_closed : {false, true}) {
        for (const bool silent : {false, true}) {
            for (const bool owner_changes : {false, true}) {
                std::string counts;
                for (const base::millis ms :
                     {20, 60, 100, 200, 300, 400, 700, 1000, 2000}) {
                    const int ends = count_delayed_ends(ms, also_if_closed,
                                                        silent, owner_changes);
                    const int limit =
                        also_if_closed
                            ? max_ends_of_closed_runs + (owner_changes ? 1 : 0)
                            : max_ends;
                    EXPECT_LE(ends, limit)
                        << ms << " ms" << (silent ? ", silent" : "")
                        << (owner_changes ? ", owner changes" : "");
                    counts += " " + std::to_string(ends);
                }
                std::printf("ends after a while%s%s%s:%s\n",
                            also_if_closed ? ", if closed" : "",
                            silent ? ", silent" : "",
                            owner_changes ? ", owner changes" : "",
                            counts.c_str());
            }
        }
    }
}

/// Servers crash by chance at this interval, as many each time.
constexpr base::millis storm_interval_ms = 400;
constexpr int storm_crashes = 2;

/// Returns how many servers an item ends while others crash by chance.
int count_ends_in_storm(const ending_shape& shape, unsigned seed) {
    constexpr base::millis storm_ms = 6000;
    std::mt19937 random(seed);
    loss_simulation simulation;
    simulation.crash_when(shape.ends);
    for (base::millis t = 0; t < step_time_ms; t += storm_interval_ms) {
        simulation.run(storm_interval_ms);
        if (t < storm_ms) {
            simulation.crash_some(
                storm_crashes,
                loss_simulation::chance_target::not_of_watched_item, random);
        }
    }
    return simulation.crash_count();
}

// Guards against items that are excused without end by crashes beside them.
TEST(loss_shapes_test, ends_beside_chance_have_a_bound) {
    constexpr unsigned seeds = 10;
    for (const auto& shape : shapes_at_one_point()) {
        int most = 0;
        int sum = 0;
        for (unsigned seed = 0; seed < seeds; ++seed) {
            const int ends = count_ends_in_storm(shape, seed);
            EXPECT_LE(ends, crash_ledger::max_ends_by_chance) << shape.name;
            most = std::max(most, ends);
            sum += ends;
        }
        std::printf("storm, %s: %d ends at most, %.1f on average\n",
                    shape.name.c_str(), most, static_cast<double>(sum) / seeds);
    }
}

// Guards against items that are held back in a storm of crashes.
TEST(loss_shapes_test, items_in_a_storm_are_sent_on) {
    constexpr unsigned seeds = 100;
    constexpr int rounds = 6;
    int held_back = 0;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        std::mt19937 random(seed);
        loss_simulation simulation;
        simulation.run(500);
        for (int n = 0; n < rounds; ++n) {
            simulation.crash_some(storm_crashes + (n == 0 ? 1 : 0),
                                  loss_simulation::chance_target::any, random);
            simulation.run(storm_interval_ms);
        }
        simulation.run(step_time_ms);
        for (int item = 0; item < loss_simulation::item_count; ++item) {
            const bool held = simulation.is_held_back(item, max_idle_ms);
            EXPECT_FALSE(held) << "seed " << seed << ", item " << item;
            held_back += held ? 1 : 0;
        }
    }
    std::printf("storms: %d items of %u held back\n", held_back,
                seeds * loss_simulation::item_count);
}

} // namespace

} // namespace hibiscus::batch::simulation
