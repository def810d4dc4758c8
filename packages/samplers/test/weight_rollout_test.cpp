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
    void add_servers(int count) {
        for (int n = 0; n < count; ++n) {
            registration r;
            r.service = service_name("engines");
            r.slots = 12;
            r.versions["m"] = 1;
            table_.put(sampler_id("s" + std::to_string(10 + n)), r);
        }
    }

    /// Adds servers that serve two models, with these versions.
    void add_shared_servers(int count, std::int64_t behind,
                            std::int64_t current) {
        for (int n = 0; n < count; ++n) {
            registration r;
            r.service = service_name("engines");
            r.slots = 12;
            r.versions = {{"behind", behind}, {"current", current}};
            table_.put(sampler_id("s" + std::to_string(10 + n)), r);
        }
    }

    /// Carries out the due loads for a number of rounds and counts them by
    /// model.
    std::map<std::string, int> count_loads(int rounds) {
        std::map<std::string, int> loads;
        for (int n = 0; n < rounds; ++n) {
            for (const auto& order : rollout_.take_due_orders(table_)) {
                rollout_.on_order_accepted(order);
                ++loads[order.model];
                rollout_.on_load_done(order.sampler,
                                      {{order.model, order.version}});
                table_.set_observed_version(order.sampler, order.model,
                                            order.version);
            }
        }
        return loads;
    }

    /// Accepts the due orders and returns their servers.
    std::set<std::string> accept_due_orders() {
        std::set<std::string> servers;
        for (const auto& order : rollout_.take_due_orders(table_)) {
            rollout_.on_order_accepted(order);
            servers.insert(order.sampler.str());
        }
        return servers;
    }

    void finish_load(const std::string& id, std::int64_t version) {
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
    add_servers(9);
    rollout_.announce_version("m", 2);
    EXPECT_EQ(accept_due_orders().size(), 2U);
    EXPECT_TRUE(accept_due_orders().empty());
}

// The versions of one trainer have lower numbers on every server because it is
// some steps behind the other. If models were ordered by version number, all
// servers would load its weights first, and the other trainer's next step would
// find no server.
TEST_F(weight_rollout_test,
       a_trainer_with_lower_versions_does_not_take_all_loads) {
    add_shared_servers(12, 3, 8);
    rollout_.announce_version("behind", 4);
    rollout_.announce_version("current", 9);
    const auto loads = count_loads(4);
    EXPECT_EQ(loads.at("behind"), loads.at("current"));
}

// Half of the servers have the weights of the current step. If these loaded
// first, the step's items would find them loading while the others are idle.
TEST_F(weight_rollout_test, servers_that_serve_the_current_step_load_last) {
    add_servers(4);
    for (const char* id : {"s10", "s11"}) {
        table_.set_observed_version(sampler_id(id), "m", 2);
    }
    rollout_.announce_version("m", 3);
    EXPECT_EQ(accept_due_orders(), (std::set<std::string>{"s12", "s13"}));
}

// A third of the servers refuse connections or have become four times slower.
// If they were loaded like the others, they would count as slots that no run
// uses.
TEST_F(weight_rollout_test, slow_and_blocked_servers_load_last) {
    add_servers(9);
    for (int n = 0; n < 9; ++n) {
        const sampler_id id("s" + std::to_string(10 + n));
        for (int event = 0; event < 20; ++event) {
            table_.on_event(id, n == 0 ? 160 : 40);
        }
    }
    table_.block(sampler_id("s11"), 5000);
    rollout_.announce_version("m", 2);
    EXPECT_EQ(accept_due_orders(), (std::set<std::string>{"s12", "s13"}));
}

TEST_F(weight_rollout_test, more_servers_of_a_large_fleet_load_at_a_time) {
    add_servers(44);
    rollout_.announce_version("m", 2);
    EXPECT_EQ(accept_due_orders().size(), 9U);
}

// A server reports the end of a load a quarter of its duration late. If no load
// started meanwhile, steps would have a fifth fewer servers with their weights.
TEST_F(weight_rollout_test, loads_about_to_end_do_not_block_all_others) {
    add_servers(44);
    rollout_.announce_version("m", 2);
    EXPECT_EQ(accept_due_orders().size(), 9U);
    time_->advance(1000);
    EXPECT_EQ(accept_due_orders().size(), 3U);
    EXPECT_TRUE(accept_due_orders().empty());
}

TEST_F(weight_rollout_test, each_server_loads_the_version_once) {
    add_servers(5);
    rollout_.announce_version("m", 2);
    std::set<std::string> loaded;
    for (int round = 0; round < 3; ++round) {
        for (const auto& id : accept_due_orders()) {
            EXPECT_TRUE(loaded.insert(id).second);
            finish_load(id, 2);
        }
        time_->advance(1000);
    }
    EXPECT_EQ(loaded.size(), 5U);
    EXPECT_TRUE(accept_due_orders().empty());
}

// Loads take several seconds because the weight store is slow. If each counted
// as done after its usual time, all servers would soon load at once, and a step
// would find no slot.
TEST_F(weight_rollout_test, slow_loads_do_not_accumulate) {
    add_servers(12);
    rollout_.announce_version("m", 2);
    std::set<std::string> loading;
    for (int n = 0; n < 5; ++n) {
        for (const auto& id : accept_due_orders()) {
            loading.insert(id);
        }
        time_->advance(1000);
        rollout_.take_due_checks();
    }
    EXPECT_LE(loading.size(), 3U);
}

TEST_F(weight_rollout_test, a_load_that_is_never_reported_times_out) {
    add_servers(9);
    rollout_.announce_version("m", 2);
    const auto first = accept_due_orders();
    time_->advance(6001);
    EXPECT_FALSE(accept_due_orders().empty());
}

TEST_F(weight_rollout_test, checks_whether_a_load_has_ended) {
    add_servers(3);
    rollout_.announce_version("m", 2);
    accept_due_orders();
    EXPECT_TRUE(rollout_.take_due_checks().empty());
    time_->advance(950);
    EXPECT_EQ(rollout_.take_due_checks().size(), 2U);
    EXPECT_TRUE(rollout_.take_due_checks().empty());
    time_->advance(200);
    EXPECT_EQ(rollout_.take_due_checks().size(), 2U);
}

// The store is unreachable for six seconds, and no server is asked about its
// load meanwhile. If these counted as loads of six seconds, the next ones would
// be checked only after five, and for half a minute each step would wait for
// weights that are already loaded.
TEST_F(weight_rollout_test,
       loads_that_could_not_be_checked_do_not_count_as_long) {
    add_servers(40);
    rollout_.announce_version("m", 2);
    const auto loading = accept_due_orders();
    time_->advance(700);
    rollout_.take_due_checks();
    time_->advance(6000);
    rollout_.take_due_checks();
    for (const auto& id : loading) {
        finish_load(id, 2);
    }
    ASSERT_FALSE(accept_due_orders().empty());
    time_->advance(1200);
    EXPECT_FALSE(rollout_.take_due_checks().empty());
}

// Guards against an estimate that stays high: loads were slow for a while and
// are fast again, and their ends must be noticed early enough to show it.
TEST_F(weight_rollout_test, the_estimate_shrinks_when_loads_are_fast_again) {
    constexpr base::millis load_ms = 900;
    constexpr base::millis slow_ms = 5000;
    add_servers(40);
    std::int64_t version = 1;
    const auto run_loads = [&](base::millis duration_ms,
                               base::millis period_ms) {
        std::map<std::string, base::millis> loads;
        int ended = 0;
        for (base::millis elapsed_ms = 0; elapsed_ms < period_ms;
             elapsed_ms += 50) {
            if (elapsed_ms % 4000 == 0) {
                rollout_.announce_version("m", ++version);
            }
            for (const auto& id : accept_due_orders()) {
                loads[id] = clock_.now() + duration_ms;
            }
            for (const auto& id : rollout_.take_due_checks()) {
                if (clock_.now() >= loads[id.str()]) {
                    finish_load(id.str(), version);
                    ++ended;
                }
            }
            time_->advance(50);
        }
        return ended;
    };
    run_loads(slow_ms, 40000);
    run_loads(load_ms, 12000);
    // Eight loads at a time, each taking a second, for ten seconds.
    EXPECT_GE(run_loads(load_ms, 10000), 80);
}

// Guards against loads that time out early once loads take longer.
TEST_F(weight_rollout_test, the_estimate_grows_when_loads_become_long) {
    constexpr base::millis short_ms = 50;
    constexpr base::millis long_ms = 1000;
    add_servers(40);
    std::int64_t version = 1;
    for (int n = 0; n < 30; ++n) {
        rollout_.announce_version("m", ++version);
        const auto ids = accept_due_orders();
        time_->advance(short_ms);
        for (const auto& id : ids) {
            finish_load(id, version);
        }
    }
    base::millis first_check_ms = 0;
    for (int n = 0; n < 8; ++n) {
        rollout_.announce_version("m", ++version);
        const auto ids = accept_due_orders();
        first_check_ms = 0;
        for (base::millis elapsed_ms = 0; elapsed_ms < long_ms;
             elapsed_ms += 50) {
            time_->advance(50);
            if (!rollout_.take_due_checks().empty() && first_check_ms == 0) {
                first_check_ms = elapsed_ms + 50;
            }
        }
        time_->advance(10);
        for (const auto& id : ids) {
            finish_load(id, version);
        }
    }
    // Half of the expected time of a load.
    EXPECT_GT(first_check_ms, 400);
}

// Guards against loads of versions that are replaced before they are used.
TEST_F(weight_rollout_test, only_as_many_servers_load_as_steps_need) {
    constexpr int servers = 200;
    constexpr int needed = 20;
    constexpr int slots = 12;
    constexpr base::millis load_ms = 900;
    add_servers(servers);
    rollout_.announce_version("m", 2);
    rollout_.set_wanted_slots("m", needed * slots);
    const auto run_loads_for = [&](base::millis period_ms) {
        for (base::millis elapsed_ms = 0; elapsed_ms < period_ms;
             elapsed_ms += load_ms) {
            const auto ids = accept_due_orders();
            time_->advance(load_ms);
            for (const auto& id : ids) {
                finish_load(id, 2);
            }
        }
    };
    const auto count_loaded = [&] {
        return std::count_if(
            table_.rows().begin(), table_.rows().end(),
            [](const auto& row) { return row.second.version_of("m") == 2; });
    };
    run_loads_for(9000);
    EXPECT_EQ(count_loaded(), needed);
    // A stable version reaches all 200 servers within 22 s if a load takes 0.9
    // s.
    run_loads_for(13000);
    EXPECT_EQ(count_loaded(), servers);
}

// The servers with a model's weights are full with runs of other models.
TEST_F(weight_rollout_test, slots_taken_by_runs_of_other_models_do_not_count) {
    constexpr int slots = 12;
    add_servers(40);
    rollout_.announce_version("m", 2);
    rollout_.set_wanted_slots("m", 2 * slots);
    const auto first = accept_due_orders();
    EXPECT_EQ(first.size(), 2U);
    time_->advance(900);
    for (const auto& id : first) {
        finish_load(id, 2);
        for (int n = 0; n < slots; ++n) {
            table_.on_request_started(sampler_id(id));
        }
    }
    EXPECT_EQ(accept_due_orders().size(), 2U);
}

TEST_F(weight_rollout_test, a_rejected_order_is_sent_again_later) {
    add_servers(1);
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
