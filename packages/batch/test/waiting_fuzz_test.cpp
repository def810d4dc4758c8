#include "waiting_play.hpp"

#include "support/fuzz.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace hibiscus::batch::play {

namespace {

constexpr int servers = 5;
constexpr int plays = 60;
constexpr std::size_t most_commands = 200;

/// Commands below the first number leave the owner and the store alone.
constexpr int server_commands = 93;
constexpr int all_commands = 100;

/// All servers are listed from then on.
constexpr base::millis start_ms = 1500;

/// Within this time each server is seen to be sound, in ms: its entry is
/// renewed, and its pause after failures is over.
constexpr base::millis recovery_ms = 2500;

constexpr base::millis calm_ms = 20000;
constexpr base::millis calm_wait_ms = 2500;
constexpr base::millis trouble_wait_ms = 5000;

void trouble_server(waiting_world& w, const testing::fuzz_command& c) {
    auto& s = w.at(c.a);
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
        s.refuses = !s.refuses;
        break;
    case 5:
        s.fails = !s.fails;
        break;
    case 6:
        s.unheard = !s.unheard;
        break;
    case 7:
        s.entry.draining = !s.entry.draining;
        break;
    case 8:
        s.slower = 1 + c.c % 6;
        break;
    case 9:
        s.answers_orders = !s.answers_orders;
        break;
    default:
        w.cut(s);
        break;
    }
}

void play_one(waiting_world& w, const testing::fuzz_command& c) {
    if (c.kind < 45) {
        w.run(c.b * (c.a % 5 == 0 ? 8 : 1));
    } else if (c.kind < 80) {
        trouble_server(w, c);
    } else if (c.kind < 85) {
        w.name_version(c.a);
    } else if (c.kind < 91) {
        w.ask(c.a, 1 + c.b % 24);
    } else if (c.kind < 93) {
        w.end_job();
    } else if (c.kind < 95) {
        w.change_owner();
    } else if (c.kind < 97) {
        w.set_may_start(c.a % 3 != 0);
    } else {
        w.set_store(c.a % 3 != 0);
    }
}

/// Plays commands up to one of a kind; returns what was wrong.
std::string play_all(waiting_world& w,
                     const std::vector<testing::fuzz_command>& commands,
                     int kinds) {
    w.run(start_ms);
    const auto played = std::min(commands.size(), most_commands);
    for (std::size_t n = 0; n < played; ++n) {
        if (commands[n].kind < kinds) {
            play_one(w, commands[n]);
        }
        if (auto wrong = w.miscounted(); !wrong.empty()) {
            return wrong;
        }
    }
    return "";
}

std::string check_wait(const waiting_world& w, base::millis most) {
    return w.longest_wait() <= most
               ? ""
               : "an item waited " + std::to_string(w.longest_wait()) +
                     " ms while a place was free";
}

TEST(waiting_fuzz_test, no_item_waits_long_once_all_is_calm) {
    testing::fuzz("calm", plays, [](const auto& commands) {
        waiting_world w(servers);
        if (auto wrong = play_all(w, commands, all_commands); !wrong.empty()) {
            return wrong;
        }
        w.ask(0, 16);
        w.calm();
        w.run(recovery_ms);
        w.forget_waits();
        w.run(calm_ms);
        if (auto wrong = check_wait(w, calm_wait_ms); !wrong.empty()) {
            return wrong;
        }
        return w.all_done() ? w.miscounted() : "a job did not end";
    });
}

std::string
play_server_trouble(const std::vector<testing::fuzz_command>& commands) {
    waiting_world w(servers);
    auto wrong = play_all(w, commands, server_commands);
    return wrong.empty() ? check_wait(w, trouble_wait_ms) : wrong;
}

TEST(waiting_fuzz_test, no_item_waits_long_whatever_servers_do) {
    testing::fuzz("servers", plays, play_server_trouble);
}

TEST(waiting_fuzz_test, refusals_do_not_keep_items_from_a_server_that_failed) {
    // Guards against items that wait while the server that failed is sound.
    EXPECT_EQ(play_server_trouble({{45, 77, 137, 0},
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
    EXPECT_EQ(play_server_trouble({{45, 0, 0, 0},
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
    EXPECT_EQ(play_server_trouble({{45, 834, 829, 0},
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

} // namespace hibiscus::batch::play
