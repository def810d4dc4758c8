#include "hibiscus/samplers/weight_rollout.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hibiscus::samplers {

namespace {

class weight_rollout_test : public testing::Test {
protected:
    void add(int count) {
        for (int n = 0; n < count; ++n) {
            registration r;
            r.service = service_name("engines");
            r.slots = 12;
            r.versions["m"] = 1;
            table_.put(sampler_id("s" + std::to_string(10 + n)), r);
        }
    }

    /// Adds servers that serve two models.
    void add_shared(int count, std::int64_t late, std::int64_t prompt) {
        for (int n = 0; n < count; ++n) {
            registration r;
            r.service = service_name("engines");
            r.slots = 12;
            r.versions = {{"late", late}, {"prompt", prompt}};
            table_.put(sampler_id("s" + std::to_string(10 + n)), r);
        }
    }

    /// Carries out loads for some seconds and counts them by model.
    std::map<std::string, int> loads_of(int rounds) {
        std::map<std::string, int> out;
        for (int n = 0; n < rounds; ++n) {
            for (const auto& o : rollout_.take_due_orders(table_)) {
                rollout_.on_order_accepted(o);
                ++out[o.model];
                rollout_.on_load_done(o.sampler, {{o.model, o.version}});
                table_.set_observed_version(o.sampler, o.model, o.version);
            }
        }
        return out;
    }

    std::set<std::string> accept_due() {
        std::set<std::string> out;
        for (const auto& o : rollout_.take_due_orders(table_)) {
            rollout_.on_order_accepted(o);
            out.insert(o.sampler.str());
        }
        return out;
    }

    void done(const std::string& id, std::int64_t version) {
        rollout_.on_load_done(sampler_id(id), {{"m", version}});
        table_.set_observed_version(sampler_id(id), "m", version);
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    sampler_table table_{clock_};
    weight_rollout rollout_{clock_};
};

TEST_F(weight_rollout_test, two_of_nine_load_at_a_time) {
    add(9);
    rollout_.announce_version("m", 2);
    EXPECT_EQ(accept_due().size(), 2U);
    EXPECT_TRUE(accept_due().empty());
}

TEST_F(weight_rollout_test, a_trainer_that_is_late_does_not_take_all_loads) {
    // One trainer is some steps behind the other, so that its versions have
    // lower numbers on every server. Went by the number, all servers would
    // load its weights first, and the other trainer's next step would find no
    // server at all.
    add_shared(12, 3, 8);
    rollout_.announce_version("late", 4);
    rollout_.announce_version("prompt", 9);
    const auto loads = loads_of(4);
    EXPECT_EQ(loads.at("late"), loads.at("prompt"));
}

TEST_F(weight_rollout_test, servers_that_still_serve_a_step_load_last) {
    // Half of the servers have the weights of the step under way. Were these
    // loaded first, the step's items would find them closed while the others
    // stand idle.
    add(4);
    for (const char* id : {"s10", "s11"}) {
        table_.set_observed_version(sampler_id(id), "m", 2);
    }
    rollout_.announce_version("m", 3);
    EXPECT_EQ(accept_due(), (std::set<std::string>{"s12", "s13"}));
}

TEST_F(weight_rollout_test, servers_in_trouble_load_last) {
    // A third of the servers refuse connections or have become four times
    // slower. Loaded like the others they count as places that no run takes.
    add(9);
    for (int n = 0; n < 9; ++n) {
        const sampler_id id("s" + std::to_string(10 + n));
        for (int event = 0; event < 20; ++event) {
            table_.on_event(id, n == 0 ? 160 : 40);
        }
    }
    table_.block(sampler_id("s11"), 5000);
    rollout_.announce_version("m", 2);
    EXPECT_EQ(accept_due(), (std::set<std::string>{"s12", "s13"}));
}

TEST_F(weight_rollout_test, more_of_a_large_fleet_load_at_a_time) {
    add(44);
    rollout_.announce_version("m", 2);
    EXPECT_EQ(accept_due().size(), 9U);
}

// A server reports the end of a load a quarter of its time later. If nothing
// began meanwhile, steps would have a fifth fewer servers with their weights.
TEST_F(weight_rollout_test, loads_past_their_time_do_not_hold_up_all_others) {
    add(44);
    rollout_.announce_version("m", 2);
    EXPECT_EQ(accept_due().size(), 9U);
    time_->advance(1000);
    EXPECT_EQ(accept_due().size(), 3U);
    EXPECT_TRUE(accept_due().empty());
}

TEST_F(weight_rollout_test, all_get_the_version_and_those_behind_come_first) {
    add(5);
    rollout_.announce_version("m", 2);
    std::set<std::string> seen;
    for (int round = 0; round < 3; ++round) {
        for (const auto& id : accept_due()) {
            EXPECT_TRUE(seen.insert(id).second);
            done(id, 2);
        }
        time_->advance(1000);
    }
    EXPECT_EQ(seen.size(), 5U);
    EXPECT_TRUE(accept_due().empty());
}

TEST_F(weight_rollout_test, slow_loads_are_not_joined_by_ever_more) {
    // Loads take several seconds, as when the weight store is slow. If each
    // counted as done after its usual time, all servers would soon load at
    // once, and a step would find no place at all.
    add(12);
    rollout_.announce_version("m", 2);
    std::set<std::string> loading;
    for (int n = 0; n < 5; ++n) {
        for (const auto& id : accept_due()) {
            loading.insert(id);
        }
        time_->advance(1000);
        rollout_.take_due_checks();
    }
    EXPECT_LE(loading.size(), 3U);
}

TEST_F(weight_rollout_test, a_server_that_never_reports_holds_up_nobody) {
    add(9);
    rollout_.announce_version("m", 2);
    const auto first = accept_due();
    time_->advance(6001);
    EXPECT_FALSE(accept_due().empty());
}

TEST_F(weight_rollout_test, asks_whether_a_load_has_ended) {
    add(3);
    rollout_.announce_version("m", 2);
    accept_due();
    EXPECT_TRUE(rollout_.take_due_checks().empty());
    time_->advance(950);
    EXPECT_EQ(rollout_.take_due_checks().size(), 2U);
    EXPECT_TRUE(rollout_.take_due_checks().empty());
    time_->advance(200);
    EXPECT_EQ(rollout_.take_due_checks().size(), 2U);
}

// The store is away for six seconds, and no server is asked for its load
// meanwhile. Taken for loads of six seconds, these made the next ones be asked
// for only after five: for half a minute each step waited for weights that had
// long been there.
TEST_F(weight_rollout_test, loads_that_nobody_could_ask_for_do_not_seem_long) {
    add(40);
    rollout_.announce_version("m", 2);
    const auto before = accept_due();
    time_->advance(700);
    rollout_.take_due_checks();
    time_->advance(6000);
    rollout_.take_due_checks();
    for (const auto& id : before) {
        done(id, 2);
    }
    ASSERT_FALSE(accept_due().empty());
    time_->advance(1200);
    EXPECT_FALSE(rollout_.take_due_checks().empty());
}

// Loads were slow for a while and are fast again. Each is found at its end soon
// enough for that to show.
TEST_F(weight_rollout_test, loads_that_are_fast_again_are_seen_to_be) {
    constexpr base::millis load_ms = 900;
    constexpr base::millis slow_ms = 5000;
    add(40);
    std::int64_t version = 1;
    const auto play = [&](base::millis lasts, base::millis length) {
        std::map<std::string, base::millis> loads;
        int ended = 0;
        for (base::millis at = 0; at < length; at += 50) {
            if (at % 4000 == 0) {
                rollout_.announce_version("m", ++version);
            }
            for (const auto& id : accept_due()) {
                loads[id] = clock_.now() + lasts;
            }
            for (const auto& id : rollout_.take_due_checks()) {
                if (clock_.now() >= loads[id.str()]) {
                    done(id.str(), version);
                    ++ended;
                }
            }
            time_->advance(50);
        }
        return ended;
    };
    play(slow_ms, 40000);
    play(load_ms, 12000);
    // Eight at a time, of which each takes a second, for ten seconds.
    EXPECT_GE(play(load_ms, 10000), 80);
}

// Guards against loads that are given up early once they take longer.
TEST_F(weight_rollout_test, loads_that_become_long_are_seen_to_be) {
    constexpr base::millis short_ms = 50;
    constexpr base::millis long_ms = 1000;
    add(40);
    std::int64_t version = 1;
    for (int n = 0; n < 30; ++n) {
        rollout_.announce_version("m", ++version);
        const auto ids = accept_due();
        time_->advance(short_ms);
        for (const auto& id : ids) {
            done(id, version);
        }
    }
    base::millis first_question = 0;
    for (int n = 0; n < 8; ++n) {
        rollout_.announce_version("m", ++version);
        const auto ids = accept_due();
        first_question = 0;
        for (base::millis at = 0; at < long_ms; at += 50) {
            time_->advance(50);
            if (!rollout_.take_due_checks().empty() && first_question == 0) {
                first_question = at + 50;
            }
        }
        time_->advance(10);
        for (const auto& id : ids) {
            done(id, version);
        }
    }
    // Half of what a load is expected to take.
    EXPECT_GT(first_question, 400);
}

// Guards against loads that are replaced before anybody uses them.
TEST_F(weight_rollout_test, only_so_many_servers_load_as_steps_need) {
    constexpr int servers = 200;
    constexpr int needed = 20;
    constexpr int slots = 12;
    constexpr base::millis load_ms = 900;
    add(servers);
    rollout_.announce_version("m", 2);
    rollout_.set_wanted_slots("m", needed * slots);
    const auto load_for = [&](base::millis length) {
        for (base::millis at = 0; at < length; at += load_ms) {
            const auto ids = accept_due();
            time_->advance(load_ms);
            for (const auto& id : ids) {
                done(id, 2);
            }
        }
    };
    const auto loaded = [&] {
        return std::count_if(
            table_.rows().begin(), table_.rows().end(),
            [](const auto& row) { return row.second.version_of("m") == 2; });
    };
    load_for(9000);
    EXPECT_EQ(loaded(), needed);
    // Weights that stand reach all servers within 22 s.
    load_for(13000);
    EXPECT_EQ(loaded(), servers);
}

// The servers that have a model's weights are full with the runs of others.
TEST_F(weight_rollout_test, places_that_others_have_taken_do_not_count) {
    constexpr int slots = 12;
    add(40);
    rollout_.announce_version("m", 2);
    rollout_.set_wanted_slots("m", 2 * slots);
    const auto first = accept_due();
    EXPECT_EQ(first.size(), 2U);
    time_->advance(900);
    for (const auto& id : first) {
        done(id, 2);
        for (int n = 0; n < slots; ++n) {
            table_.on_request_started(sampler_id(id));
        }
    }
    EXPECT_EQ(accept_due().size(), 2U);
}

TEST_F(weight_rollout_test, an_order_that_was_not_taken_is_sent_again_later) {
    add(1);
    rollout_.announce_version("m", 2);
    const auto orders = rollout_.take_due_orders(table_);
    ASSERT_EQ(orders.size(), 1U);
    rollout_.on_order_rejected(orders[0]);
    EXPECT_TRUE(rollout_.take_due_orders(table_).empty());
    time_->advance(400);
    EXPECT_EQ(rollout_.take_due_orders(table_).size(), 1U);
}

} // namespace

} // namespace hibiscus::samplers
