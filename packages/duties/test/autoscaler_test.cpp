#include "hibiscus/duties/autoscaler.hpp"
#include "support/fuzz.hpp"

#include <gtest/gtest.h>

namespace hibiscus::duties {

namespace {

/// A service with four servers of ten slots in each of two zones, of which "b"
/// is the cheaper one.
class autoscaler_test : public ::testing::Test {
protected:
    autoscaler_test() {
        load_.service = "s";
        load_.limits = {1, 6, 4000, {{"a", 1.0}, {"b", 0.8}}};
        load_.zones["a"] = {4, 40, 20};
        load_.zones["b"] = {4, 40, 20};
    }

    /// Runs for `seconds`; carries out the orders if `executes` is set. Returns
    /// all orders.
    std::vector<scaling_order> run_for(int seconds, bool executes = false) {
        std::vector<scaling_order> orders;
        for (int n = 0; n < seconds; ++n) {
            now_ += 1000;
            for (const auto& order : scaler_.next_orders({load_}, now_)) {
                orders.push_back(order);
                scaler_.on_ordered(order.subject, order.target);
                if (executes) {
                    auto& zone = load_.zones[order.subject.zone];
                    zone.servers = order.target;
                    zone.slots = 10 * zone.servers;
                }
            }
        }
        return orders;
    }

    void set_busy_share(double share) {
        for (auto& row : load_.zones) {
            row.second.busy_slots = static_cast<int>(share * row.second.slots);
        }
    }

    service_load load_;
    autoscaler scaler_;
    base::millis now_ = 1000;
};

TEST_F(autoscaler_test, a_service_with_a_usual_load_gets_no_orders) {
    EXPECT_TRUE(run_for(1000).empty());
}

// Guards against orders for servers that restart within seconds.
TEST_F(autoscaler_test, servers_that_are_lost_for_good_are_ordered_elsewhere) {
    run_for(1);
    load_.zones["a"].servers = 3;
    EXPECT_TRUE(run_for(13).empty());
    load_.zones["a"].servers = 4;
    EXPECT_TRUE(run_for(5).empty());
    load_.zones["a"].servers = 2;
    const auto orders = run_for(60, true);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].subject.zone, "b");
    EXPECT_EQ(orders[0].target, 6);
    EXPECT_EQ(orders[0].reason, scaling_reason::lost_servers);
}

// Guards against a later holder that replaces the same servers once more.
TEST_F(autoscaler_test, the_target_of_a_zone_that_lost_servers_is_lowered) {
    scaler_.on_ordered({"s", "a"}, 4);
    run_for(1);
    load_.zones["a"].servers = 2;
    const auto orders = run_for(60, true);
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_EQ(orders[1].subject.zone, "a");
    EXPECT_EQ(orders[1].target, 2);
    scaler_.begin_turn();
    EXPECT_TRUE(run_for(60).empty());
}

// Guards against orders that follow the rush at the start of each step.
TEST_F(autoscaler_test, only_a_lasting_shortage_adds_servers) {
    for (int n = 0; n < 10; ++n) {
        set_busy_share(1);
        load_.waiting = 50;
        EXPECT_TRUE(run_for(8).empty());
        set_busy_share(0.5);
        load_.waiting = 0;
        EXPECT_TRUE(run_for(2).empty());
    }
    set_busy_share(1);
    load_.waiting = 50;
    const auto orders = run_for(12, true);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].subject.zone, "b");
    EXPECT_EQ(orders[0].target, 5);
    EXPECT_EQ(orders[0].reason, scaling_reason::busy);
}

TEST_F(autoscaler_test, orders_stay_within_the_limits) {
    load_.waiting = 50;
    for (int n = 0; n < 40; ++n) {
        set_busy_share(1);
        for (const auto& order : run_for(30, true)) {
            EXPECT_LE(order.target, 6);
        }
    }
    EXPECT_EQ(load_.zones["a"].servers, 6);
    EXPECT_EQ(load_.zones["b"].servers, 6);
    load_.waiting = 0;
    for (int n = 0; n < 400; ++n) {
        set_busy_share(0);
        for (const auto& order : run_for(60, true)) {
            EXPECT_GE(order.target, 1);
        }
    }
    EXPECT_EQ(load_.zones["a"].servers, 1);
    EXPECT_EQ(load_.zones["b"].servers, 1);
}

// Guards against a new holder that takes back what the one before ordered.
TEST_F(autoscaler_test, a_new_holder_keeps_the_orders_of_the_one_before) {
    scaler_.on_ordered({"s", "b"}, 6);
    scaler_.begin_turn();
    EXPECT_TRUE(run_for(5).empty());
    EXPECT_EQ(scaler_.wanted({"s", "b"}), 6);
    EXPECT_EQ(scaler_.wanted({"s", "a"}), 4);
}

/// The same service, with 18 servers at most in each zone and a measured
/// demand.
class demand_test : public autoscaler_test {
protected:
    demand_test() { load_.limits.max_servers = 18; }

    void set_demand(double slots, bool is_complete = true) {
        load_.demand = {slots, is_complete};
    }

    int total(const std::vector<scaling_order>& orders) const {
        std::map<std::string, int> targets;
        for (const auto& row : load_.zones) {
            targets[row.first] = row.second.servers;
        }
        for (const auto& order : orders) {
            targets[order.subject.zone] = order.target;
        }
        int sum = 0;
        for (const auto& row : targets) {
            sum += row.second;
        }
        return sum;
    }
};

TEST_F(demand_test, the_whole_shortfall_is_ordered_at_once_and_once) {
    set_demand(240);
    const auto orders = run_for(1);
    EXPECT_EQ(total(orders), 24);
    EXPECT_EQ(scaler_.wanted({"s", "b"}), 18);
    EXPECT_EQ(scaler_.wanted({"s", "a"}), 6);
    // Before the servers have started, and after.
    EXPECT_TRUE(run_for(4).empty());
    load_.zones["a"] = {6, 60, 60};
    load_.zones["b"] = {18, 180, 180};
    EXPECT_TRUE(run_for(300).empty());
}

TEST_F(demand_test, zones_with_alike_prices_share_the_servers) {
    load_.limits.zone_prices = {{"a", 1.0}, {"b", 1.05}};
    set_demand(240);
    run_for(1);
    EXPECT_EQ(scaler_.wanted({"s", "a"}), 12);
    EXPECT_EQ(scaler_.wanted({"s", "b"}), 12);
}

TEST_F(demand_test, bursts_that_fit_lead_to_no_order) {
    for (int n = 0; n < 60; ++n) {
        set_busy_share(1);
        load_.waiting = 50;
        set_demand(70);
        EXPECT_TRUE(run_for(3).empty());
        set_busy_share(0);
        load_.waiting = 0;
        EXPECT_TRUE(run_for(1).empty());
    }
}

TEST_F(demand_test, nothing_is_ordered_before_the_demand_is_known) {
    set_demand(240, false);
    EXPECT_TRUE(run_for(10).empty());
}

// Guards against new trainers, one after the other, that put off all orders.
TEST_F(demand_test, an_order_does_not_wait_for_new_trainers_forever) {
    set_demand(240, false);
    EXPECT_EQ(total(run_for(15, true)), 24);
    set_demand(10, false);
    EXPECT_TRUE(run_for(600, true).empty());
}

// Guards against an order that the next one takes back.
TEST_F(demand_test, a_load_that_goes_away_leads_to_one_order_down_later) {
    set_demand(240);
    run_for(60, true);
    set_demand(120);
    EXPECT_TRUE(run_for(110, true).empty());
    const auto orders = run_for(600, true);
    EXPECT_EQ(orders.size(), 2U);
    EXPECT_EQ(total({}), 14);
    EXPECT_EQ(orders[0].reason, scaling_reason::surplus);
}

TEST_F(demand_test, a_limit_that_the_operator_can_lift_is_told) {
    set_demand(400);
    EXPECT_EQ(total(run_for(1, true)), 36);
    EXPECT_EQ(scaler_.missing("s").count, 4);
    EXPECT_EQ(scaler_.missing("s").limit, scaling_limit::max_reached);
    EXPECT_TRUE(run_for(60, true).empty());
    load_.limits.max_servers = 30;
    EXPECT_EQ(total(run_for(20, true)), 40);
    EXPECT_EQ(scaler_.missing("s").limit, scaling_limit::none);
}

// Guards against a second order for servers that have not started yet.
TEST_F(demand_test, a_new_holder_counts_what_the_one_before_ordered) {
    set_demand(240);
    run_for(1);
    scaler_.begin_turn();
    EXPECT_TRUE(run_for(5).empty());
}

// Guards against repeats at a zone that has no servers.
TEST_F(demand_test, what_a_zone_refuses_is_ordered_elsewhere) {
    set_demand(180);
    EXPECT_EQ(run_for(1).size(), 1U);
    scaler_.on_ordered({"s", "b"}, 4);
    scaler_.on_refused({"s", "b"}, now_);
    const auto orders = run_for(1);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].subject.zone, "a");
    EXPECT_EQ(orders[0].target, 14);
}

TEST_F(demand_test, orders_to_a_zone_that_refuses_all_are_bounded) {
    load_.zones.erase("a");
    set_demand(80);
    int order_count = 0;
    for (int n = 0; n < 300; ++n) {
        for (const auto& order : run_for(1)) {
            ++order_count;
            scaler_.on_ordered(order.subject, 4);
            scaler_.on_refused(order.subject, now_);
            EXPECT_TRUE(run_for(1).empty());
            EXPECT_EQ(scaler_.missing("s").limit, scaling_limit::unavailable);
        }
    }
    EXPECT_LE(order_count, 6);
}

TEST(autoscaler_records_test, keys_and_targets_round_trip) {
    const scaling_subject subject{"service/with/slashes", "zone-a"};
    EXPECT_EQ(parse_scaling_key(scaling_key(subject)), subject);
    EXPECT_EQ(decode_target(encode_target(12)), 12);
    for (const char* key : {"!scale/", "!scale/x", "!usage/1", ""}) {
        EXPECT_FALSE(parse_scaling_key(key)) << key;
    }
    for (const char* bytes : {"", "x", "1x", "-1"}) {
        EXPECT_FALSE(decode_target(bytes)) << bytes;
    }
}

// Guards against orders outside the limits, against two orders at once for one
// subject, and against orders in quick succession, whatever is observed.
TEST(autoscaler_fuzz_test, orders_are_within_limits_and_not_hasty) {
    testing::fuzz("autoscaler", 40, [&](const auto& commands) {
        autoscaler scaler;
        service_load load;
        load.service = "s";
        load.limits = {1, 8, 4000, {}};
        base::millis now = 1000;
        base::millis last_order_at = -1000000;
        for (const auto& c : commands) {
            now += 1000;
            auto& zone = load.zones[c.a % 2 == 0 ? "a" : "b"];
            zone.servers = c.b % 9;
            zone.slots = 10 * zone.servers;
            zone.busy_slots = c.kind < 50 ? zone.slots : 0;
            load.waiting = c.kind < 50 ? c.c : 0;
            load.demand.reset();
            if (c.kind % 2 == 0) {
                load.demand = {static_cast<double>(c.c), c.kind % 4 == 0};
            }
            std::set<scaling_subject> subjects;
            for (const auto& order : scaler.next_orders({load}, now)) {
                if (order.target < 0 || order.target > 8) {
                    return "target " + std::to_string(order.target);
                }
                if (!subjects.insert(order.subject).second) {
                    return std::string("two orders for one subject");
                }
                scaler.on_ordered(order.subject, order.target);
            }
            if (!subjects.empty() && now - last_order_at < 1000) {
                return std::string("two decisions at once");
            }
            last_order_at = subjects.empty() ? last_order_at : now;
        }
        return std::string();
    });
}

} // namespace

} // namespace hibiscus::duties
