#include "wait_simulation.hpp"

#include "support/fuzz.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace hibiscus::batch::simulation {

namespace {

constexpr int servers = 5;
constexpr int runs_per_test = 60;
constexpr std::size_t max_commands = 200;

/// Commands below the first number leave the owner and the store alone.
constexpr int server_commands = 93;
constexpr int all_commands = 100;

/// All servers are listed from then on.
constexpr base::millis start_ms = 1500;

/// Within this time each server is seen to be sound, in ms: its entry is
/// renewed, and its pause after failures is over.
constexpr base::millis recovery_ms = 2500;

constexpr base::millis fault_free_ms = 20000;
constexpr base::millis max_fault_free_wait_ms = 2500;
constexpr base::millis max_faulty_wait_ms = 5000;

void inject_server_fault(wait_simulation& w, const testing::fuzz_command& c) {
    auto& s = w.server_at(c.a);
    switch (c.b % 11) {
    case 0:
        w.crash(s, c.c % 2 == 0);
        break;
    case 1:
        w.restart(s);
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
        s.heartbeats_lost = !s.heartbeats_lost;
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
        w.reset_connections(s);
        break;
    }
}

void apply_command(wait_simulation& w, const testing::fuzz_command& c) {
    if (c.kind < 45) {
        w.run(c.b * (c.a % 5 == 0 ? 8 : 1));
    } else if (c.kind < 80) {
        inject_server_fault(w, c);
    } else if (c.kind < 85) {
        w.announce_version(c.a);
    } else if (c.kind < 91) {
        w.submit_job(c.a, 1 + c.b % 24);
    } else if (c.kind < 93) {
        w.end_oldest_job();
    } else if (c.kind < 95) {
        w.change_owner();
    } else if (c.kind < 97) {
        w.set_may_start(c.a % 3 != 0);
    } else {
        w.set_store_up(c.a % 3 != 0);
    }
}

/// Plays commands up to one of a kind; returns what was wrong.
std::string apply_commands(wait_simulation& w,
                           const std::vector<testing::fuzz_command>& commands,
                           int kinds) {
    w.run(start_ms);
    const auto played = std::min(commands.size(), max_commands);
    for (std::size_t n = 0; n < played; ++n) {
        if (commands[n].kind < kinds) {
            apply_command(w, commands[n]);
        }
        if (auto wrong = w.find_miscount(); !wrong.empty()) {
            return wrong;
        }
    }
    return "";
}

std::string check_wait(const wait_simulation& w, base::millis most) {
    return w.longest_wait() <= most
               ? ""
               : "an item waited " + std::to_string(w.longest_wait()) +
                     " ms while a place was free";
}

TEST(waiting_fuzz_test, no_item_waits_long_once_all_is_calm) {
    testing::fuzz("calm", runs_per_test, [](const auto& commands) {
        wait_simulation w(servers);
        if (auto wrong = apply_commands(w, commands, all_commands);
            !wrong.empty()) {
            return wrong;
        }
        w.submit_job(0, 16);
        w.clear_faults();
        w.run(recovery_ms);
        w.reset_waits();
        w.run(fault_free_ms);
        if (auto wrong = check_wait(w, max_fault_free_wait_ms);
            !wrong.empty()) {
            return wrong;
        }
        return w.has_no_jobs() ? w.find_miscount() : "a job did not end";
    });
}

std::string
run_server_faults(const std::vector<testing::fuzz_command>& commands) {
    wait_simulation w(servers);
    auto wrong = apply_commands(w, commands, server_commands);
    return wrong.empty() ? check_wait(w, max_faulty_wait_ms) : wrong;
}

TEST(waiting_fuzz_test, no_item_waits_long_whatever_servers_do) {
    testing::fuzz("servers", runs_per_test, run_server_faults);
}

TEST(waiting_fuzz_test, refusals_do_not_keep_items_from_a_server_that_failed) {
    // Guards against items that wait while the server that failed is sound.
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

TEST(waiting_fuzz_test,
     an_item_does_not_go_to_and_fro_between_failing_servers) {
    // Guards against items that go between failing servers past a sound one.
    EXPECT_EQ(run_server_faults({{45, 0, 0, 0},
                                 {45, 6, 0, 0},
                                 {45, 2, 115, 0},
                                 {45, 13, 115, 0},
                                 {85, 0, 0, 0},
                                 {0, 0, 194, 0},
                                 {0, 0, 432, 0}}),
              "");
}

TEST(waiting_fuzz_test, an_item_that_all_servers_failed_goes_to_each_again) {
    // Guards against items that all go back to the one server that still fails.
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
