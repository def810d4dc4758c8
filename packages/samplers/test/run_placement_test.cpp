#include "hibiscus/samplers/run_placement.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace hibiscus::samplers {

namespace {

const service_name engines("engines");

class run_placement_test : public testing::Test {
protected:
    void add_server(const char* id, int slots = 8) {
        registration r;
        r.service = engines;
        r.address = {"127.0.0.1", 1};
        r.slots = slots;
        r.versions["m"] = 1;
        table_.put(sampler_id(id), r);
    }

    /// Records events of the server at this interval, in ms.
    void observe_events(const char* id, base::millis interval) {
        for (int n = 0; n < 60; ++n) {
            table_.on_event(sampler_id(id), interval);
        }
    }

    std::string best_server() {
        const auto best = run_placement(table_, clock_.now())
                              .find_best({engines, "m", 1, 1000});
        return best ? best->str() : "";
    }

    std::set<sampler_id> slow_servers() {
        return run_placement(table_, clock_.now()).slow_servers(engines);
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    sampler_table table_{clock_};
};

// A third of the servers are permanently slower by a factor of 1.3 and idle for
// some seconds between two steps. If they ranked first then, the longest items
// of the next step, which are placed first, would go to them and delay the
// step.
TEST_F(run_placement_test, an_idle_slower_server_does_not_rank_first) {
    add_server("a");
    add_server("b");
    observe_events("a", 65);
    time_->advance(10000);
    observe_events("b", 50);
    EXPECT_EQ(best_server(), "b");
}

// A server was four times slower for some seconds. If it were ranked by that
// permanently, it would get no further runs, and so no new observation.
TEST_F(run_placement_test, a_server_is_used_again_after_a_temporary_slowdown) {
    add_server("a", 1);
    add_server("b", 1);
    add_server("c", 1);
    observe_events("a", 200);
    observe_events("b", 50);
    observe_events("c", 50);
    EXPECT_NE(best_server(), "a");
    EXPECT_EQ(slow_servers().size(), 1U);
    time_->advance(10000);
    observe_events("b", 50);
    observe_events("c", 50);
    EXPECT_TRUE(slow_servers().empty());
    table_.on_request_started(sampler_id("b"), 1000);
    table_.on_request_started(sampler_id("c"), 1000);
    EXPECT_EQ(best_server(), "a");
}

TEST_F(run_placement_test,
       a_new_server_is_assumed_to_have_the_median_interval) {
    for (const char* id : {"a", "b", "c", "new"}) {
        add_server(id);
    }
    observe_events("a", 50);
    observe_events("b", 50);
    observe_events("c", 65);
    EXPECT_NE(best_server(), "new");
    table_.on_request_started(sampler_id("a"), 1000);
    table_.on_request_started(sampler_id("b"), 1000);
    EXPECT_EQ(best_server(), "new");
}

TEST_F(run_placement_test, counts_servers_by_what_keeps_a_run_away) {
    for (const char* id : {"a", "b", "c", "d", "e", "f", "g"}) {
        add_server(id, 1);
    }
    table_.on_request_started(sampler_id("a"));
    table_.block(sampler_id("b"), 100);
    table_.set_loading(sampler_id("c"), "m", 100);
    table_.set_observed_version(sampler_id("d"), "m", 0);
    table_.mark_unlisted(sampler_id("e"));
    table_.find(sampler_id("f"))->registered.draining = true;
    const auto counts = run_placement(table_, clock_.now())
                            .count_servers({engines, "m", 1, 1000});
    EXPECT_EQ(counts.full, 1);
    EXPECT_EQ(counts.blocked, 1);
    EXPECT_EQ(counts.loading, 1);
    EXPECT_EQ(counts.old_weights, 1);
    EXPECT_EQ(counts.unlisted, 1);
    EXPECT_EQ(counts.draining, 1);
    EXPECT_EQ(counts.available, 1);
    EXPECT_EQ(counts.with_free_slots(), 4);
}

// Three trainers share the servers, and some server always loads the weights of
// one of them. It refuses new runs of that model only. If all three avoided it,
// a fifth of the slots would be missing at any time and steps would start late.
TEST_F(run_placement_test, a_load_blocks_only_the_runs_of_its_own_model) {
    registration r;
    r.service = engines;
    r.slots = 8;
    r.versions = {{"m", 1}, {"other", 1}};
    table_.put(sampler_id("a"), r);
    table_.set_loading(sampler_id("a"), "other", 1000);
    EXPECT_EQ(best_server(), "a");
    table_.set_loading(sampler_id("a"), "m", 1000);
    EXPECT_EQ(best_server(), "");
    time_->advance(1000);
    EXPECT_EQ(best_server(), "a");
    table_.set_loading(sampler_id("a"), "m", 1000);
    table_.clear_loading_of(sampler_id("a"));
    EXPECT_EQ(best_server(), "a");
}

/// A fleet of servers that differ in everything that affects placement.
class run_placement_fleet_test : public run_placement_test {
protected:
    void add_fleet(int count, unsigned seed) {
        std::mt19937 random(seed);
        const auto draw = [&random](int bound) {
            return static_cast<int>(random() % static_cast<unsigned>(bound));
        };
        table_.set_memory_tokens(engines, 4000);
        time_->advance(5000);
        for (int n = 0; n < count; ++n) {
            const auto id = "s" + std::to_string(100000 + n);
            const sampler_id server(id);
            add_server(id.c_str(), 1 + draw(6));
            table_.set_observed_version(server, "m", draw(3));
            for (int r = draw(5); r > 0; --r) {
                table_.on_request_started(server, draw(1500));
            }
            if (draw(2) == 0) {
                table_.on_event(server, 30 + draw(60));
            }
            if (draw(9) == 0) {
                table_.block(server, 100);
            }
            if (draw(9) == 0) {
                table_.set_loading(server, "m", 100);
            }
        }
        time_->advance(50);
    }

    /// Returns the cost of a run at a server; nothing if it has no free slot.
    std::optional<double> cost(const sampler_row& row, std::int64_t tokens) {
        const bool is_unavailable = clock_.now() < row.blocked_until ||
                                    row.loading_until.count("m") != 0 ||
                                    row.version_of("m") < 1;
        if (is_unavailable || row.in_flight >= row.registered.slots) {
            return std::nullopt;
        }
        const double versions_ahead =
            static_cast<double>(row.version_of("m") - 1);
        const double excess = table_.memory_share(row, tokens) - 0.85;
        const double interval = row.event_interval_ms > 0
                                    ? row.event_interval_ms
                                    : median_interval();
        return interval * (1 + 0.25 * row.in_flight / row.registered.slots +
                           0.04 * versions_ahead + 3 * std::max(0.0, excess));
    }

    double median_interval() const {
        std::vector<double> intervals;
        for (const auto& [id, row] : table_.rows()) {
            if (row.event_interval_ms > 0) {
                intervals.push_back(row.event_interval_ms);
            }
        }
        std::sort(intervals.begin(), intervals.end());
        return intervals[intervals.size() / 2];
    }
};

// Servers are ranked once and examined again only when they change. A stale
// ranking would send all runs of a step to a server that is full or slow.
TEST_F(run_placement_fleet_test, ranking_finds_the_same_server_as_a_full_scan) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        table_ = sampler_table(clock_);
        add_fleet(60, seed);
        run_placement placement(table_, clock_.now());
        std::mt19937 random(seed);
        for (int n = 0; n < 150; ++n) {
            const auto tokens = static_cast<std::int64_t>(random() % 3000);
            std::optional<double> min_cost;
            int free = 0;
            for (const auto& [id, row] : table_.rows()) {
                const auto server_cost = cost(row, tokens);
                free += server_cost ? row.registered.slots - row.in_flight : 0;
                min_cost =
                    server_cost && (!min_cost || *server_cost < *min_cost)
                        ? server_cost
                        : min_cost;
            }
            const run_requirements needs{engines, "m", 1, tokens};
            ASSERT_EQ(placement.free_slots(needs), free);
            const auto best = placement.find_best(needs);
            ASSERT_EQ(best.has_value(), min_cost.has_value());
            if (best) {
                EXPECT_NEAR(*cost(table_.rows().at(*best), tokens), *min_cost,
                            1e-6);
                table_.on_request_started(*best, tokens);
                placement.update_server(*best);
            }
            const auto released = std::next(table_.rows().begin(),
                                            static_cast<long>(random() % 60));
            table_.on_request_ended(released->first, 500);
            placement.update_server(released->first);
        }
    }
}

// Two thousand servers and a step with hundreds of items. If a job owner
// examined all servers for each item, it would spend its CPU time on that and
// delay events, lease renewals and commits.
TEST_F(run_placement_fleet_test,
       a_step_does_not_examine_all_servers_for_each_run) {
    constexpr int servers = 2000;
    constexpr int items = 500;
    add_fleet(servers, 1);
    run_placement placement(table_, clock_.now());
    for (int n = 0; n < items; ++n) {
        const run_requirements needs{engines, "m", 1, 100};
        const auto best = placement.find_best(needs);
        ASSERT_TRUE(best);
        placement.free_slots(needs);
        table_.on_request_started(*best, 100);
        placement.update_server(*best);
    }
    // All servers once for the median and once for the ranking; for each run,
    // those with too little memory and some ties.
    EXPECT_LE(placement.servers_examined(), 2 * servers + 10 * items);
}

} // namespace

} // namespace hibiscus::samplers
