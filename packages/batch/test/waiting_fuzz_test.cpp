#include "wait_simulation.hpp"

#include "support/fuzz.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace hibiscus::batch::simulation {

namespace {

constexpr int server_count = 5;
constexpr int runs_per_test = 60;
constexpr std::size_t max_commands = 200;

/// Command kinds below the first number affect only servers and jobs; the
/// others also affect the owner and the store.
constexpr int server_command_kinds = 93;
constexpr int all_command_kinds = 100;

/// After this time all servers are listed.
constexpr base::millis start_ms = 1500;
/// How long a server that falls silent is down, in ms.
constexpr base::millis silent_ms = 1500;

/// Time until every server is known to be healthy after the last fault, in ms:
/// its entry is renewed, and its backoff after failures is over.
constexpr base::millis recovery_ms = 2500;

constexpr base::millis fault_free_ms = 20000;
constexpr base::millis max_fault_free_wait_ms = 2500;
constexpr base::millis max_faulty_wait_ms = 5000;

void inject_server_fault(wait_simulation& simulation,
                         const testing::fuzz_command& c) {
    auto& s = simulation.server_at(c.a);
    switch (c.b % 11) {
    case 0:
        simulation.crash(s, c.c % 2 == 0);
        break;
    case 1:
        simulation.restart(s);
        break;
    case 2:
        s.frozen = true;
        break;
    case 3:
        s.frozen = false;
        break;
    case 4:
        s.rejects_runs = !s.rejects_runs;
        break;
    case 5:
        s.fails_runs = !s.fails_runs;
        break;
    case 6:
        s.renewals_lost = !s.renewals_lost;
        break;
    case 7:
        s.registration.draining = !s.registration.draining;
        break;
    case 8:
        s.slowdown = 1 + c.c % 6;
        break;
    case 9:
        s.acknowledges_orders = !s.acknowledges_orders;
        break;
    default:
        simulation.reset_connections(s);
        break;
    }
}

void apply_command(wait_simulation& simulation,
                   const testing::fuzz_command& c) {
    if (c.kind < 45) {
        simulation.run(c.b * (c.a % 5 == 0 ? 8 : 1));
    } else if (c.kind < 80) {
        inject_server_fault(simulation, c);
    } else if (c.kind < 85) {
        simulation.announce_version(c.a);
    } else if (c.kind < 91) {
        simulation.submit_job(c.a, 1 + c.b % 24);
    } else if (c.kind < 93) {
        simulation.end_oldest_job();
    } else if (c.kind < 95) {
        simulation.change_owner();
    } else if (c.kind < 97) {
        simulation.set_may_start_runs(c.a % 3 != 0);
    } else {
        simulation.set_store_available(c.a % 3 != 0);
    }
}

/// Applies the commands of a kind below `kind_limit`. Returns a violation, or
/// "".
std::string apply_commands(wait_simulation& simulation,
                           const std::vector<testing::fuzz_command>& commands,
                           int kind_limit) {
    simulation.run(start_ms);
    const auto command_count = std::min(commands.size(), max_commands);
    for (std::size_t n = 0; n < command_count; ++n) {
        if (commands[n].kind < kind_limit) {
            apply_command(simulation, commands[n]);
        }
        if (auto violation = simulation.find_miscount(); !violation.empty()) {
            return violation;
        }
    }
    return "";
}

std::string check_wait(const wait_simulation& simulation,
                       base::millis max_wait_ms) {
    return simulation.longest_wait() <= max_wait_ms
               ? ""
               : "an item waited " + std::to_string(simulation.longest_wait()) +
                     " ms while a slot was free";
}

TEST(waiting_fuzz_test, no_item_waits_long_after_faults_end) {
    testing::fuzz("calm", runs_per_test, [](const auto& commands) {
        wait_simulation simulation(server_count);
        if (auto violation =
                apply_commands(simulation, commands, all_command_kinds);
            !violation.empty()) {
            return violation;
        }
        simulation.submit_job(0, 16);
        simulation.clear_faults();
        simulation.run(recovery_ms);
        simulation.reset_waits();
        simulation.run(fault_free_ms);
        if (auto violation = check_wait(simulation, max_fault_free_wait_ms);
            !violation.empty()) {
            return violation;
        }
        return simulation.has_no_jobs() ? simulation.find_miscount()
                                        : "a job did not end";
    });
}

std::string
run_server_faults(const std::vector<testing::fuzz_command>& commands) {
    wait_simulation simulation(server_count);
    auto violation = apply_commands(simulation, commands, server_command_kinds);
    return violation.empty() ? check_wait(simulation, max_faulty_wait_ms)
                             : violation;
}

TEST(waiting_fuzz_test, no_item_waits_long_during_server_faults) {
    testing::fuzz("servers", runs_per_test, run_server_faults);
}

// Guards against items that end more servers while chance ends servers, too.
TEST(waiting_fuzz_test, items_that_end_servers_end_three_at_most) {
    testing::fuzz("ends", runs_per_test, [](const auto& commands) {
        wait_simulation simulation(server_count);
        simulation.end_servers_at_first_items();
        auto violation =
            apply_commands(simulation, commands, server_command_kinds);
        const int ends = simulation.most_ends_by_item();
        return violation.empty() && ends > crash_ledger::max_server_ends
                   ? "an item ended " + std::to_string(ends) + " servers"
                   : violation;
    });
}

// Guards against items under which servers fall silent, beside random faults.
TEST(waiting_fuzz_test, items_that_silence_servers_silence_three_at_most) {
    testing::fuzz("silences", runs_per_test, [](const auto& commands) {
        wait_simulation simulation(server_count);
        simulation.end_servers_at_first_items();
        simulation.end_servers_silently(silent_ms);
        auto violation =
            apply_commands(simulation, commands, server_command_kinds);
        const int ends = simulation.most_ends_by_item();
        return violation.empty() && ends > crash_ledger::max_server_ends
                   ? "an item silenced " + std::to_string(ends) + " servers"
                   : violation;
    });
}

// Guards against items that are sent on after servers fell silent under them.
TEST(waiting_fuzz_test, several_items_that_silence_servers_silence_three_each) {
    constexpr int many_servers = 11;
    constexpr int items = 24;
    for (const int ending_items : {1, 2, 3, 4}) {
        for (const base::millis delay_ms : {0, 100, 300, 700, 1000}) {
            for (const base::millis down_ms : {500, 1500, 5000}) {
                wait_simulation simulation(many_servers);
                simulation.end_servers_at_first_items(delay_ms, ending_items);
                simulation.end_servers_silently(down_ms);
                simulation.run(start_ms);
                simulation.submit_job(0, items);
                simulation.run(fault_free_ms);
                EXPECT_LE(simulation.most_ends_by_item(),
                          crash_ledger::max_server_ends)
                    << ending_items << " items, " << delay_ms << " ms, "
                    << down_ms << " ms";
            }
        }
    }
}

// Guards against items that end servers and excuse each other.
TEST(waiting_fuzz_test, several_items_that_end_servers_end_three_each) {
    constexpr int many_servers = 11;
    constexpr int items = 24;
    for (const int ending_items : {1, 2, 3, 4}) {
        for (const base::millis delay_ms : {0, 100, 300, 700, 1000}) {
            wait_simulation simulation(many_servers);
            simulation.end_servers_at_first_items(delay_ms, ending_items);
            simulation.run(start_ms);
            simulation.submit_job(0, items);
            simulation.run(fault_free_ms);
            EXPECT_LE(simulation.most_ends_by_item(),
                      crash_ledger::max_server_ends)
                << ending_items << " items, " << delay_ms << " ms";
        }
    }
}

TEST(waiting_fuzz_test,
     rejections_do_not_keep_items_from_a_server_that_failed) {
    // Guards against items that wait although the server at which they failed
    // is healthy again.
    EXPECT_EQ(run_server_faults({{45, 77, 137, 0},
                                 {45, 478, 103, 0},
                                 {85, 0, 60, 0},
                                 {45, 6, 237, 0},
                                 {45, 0, 345, 0},
                                 {45, 614, 0, 0},
                                 {0, 0, 197, 0},
                                 {45, 137, 544, 0},
                                 {0, 0, 629, 0}}),
              "");
}

TEST(waiting_fuzz_test, an_item_does_not_alternate_between_failing_servers) {
    // Guards against items that alternate between failing servers although a
    // healthy one is free.
    EXPECT_EQ(run_server_faults({{45, 0, 0, 0},
                                 {45, 6, 0, 0},
                                 {45, 2, 115, 0},
                                 {45, 13, 115, 0},
                                 {85, 0, 0, 0},
                                 {0, 0, 194, 0},
                                 {0, 0, 432, 0}}),
              "");
}

TEST(waiting_fuzz_test, an_item_that_failed_at_all_servers_is_retried_at_each) {
    // Guards against items that all return to the one server that still fails.
    EXPECT_EQ(run_server_faults({{45, 834, 829, 0},
                                 {45, 48, 0, 0},
                                 {45, 0, 0, 0},
                                 {45, 237, 0, 0},
                                 {45, 39, 500, 0},
                                 {45, 214, 488, 0},
                                 {45, 896, 170, 0},
                                 {85, 0, 0, 0},
                                 {0, 0, 32, 0},
                                 {45, 534, 335, 0},
                                 {0, 0, 629, 0}}),
              "");
}

} // namespace

} // namespace hibiscus::batch::simulation
