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
    void add(const char* id, int slots = 8) {
        registration r;
        r.service = engines;
        r.address = {"127.0.0.1", 1};
        r.slots = slots;
        r.versions["m"] = 1;
        table_.put(sampler_id(id), r);
    }

    /// The server makes events at this pace, in ms.
    void see(const char* id, base::millis pace) {
        for (int n = 0; n < 60; ++n) {
            table_.on_event(sampler_id(id), pace);
        }
    }

    std::string place() {
        const auto to = run_placement(table_, clock_.now())
                            .find_best({engines, "m", 1, 1000});
        return to ? to->str() : "";
    }

    std::set<sampler_id> slow() {
        return run_placement(table_, clock_.now()).slow_servers(engines);
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    sampler_table table_{clock_};
};

TEST_F(run_placement_test, a_slower_server_that_was_idle_is_not_the_fastest) {
    // A third of the servers take 1.3 times as long for good. Between two
    // steps they stand idle for some seconds; the next step's longest items,
    // which are placed first, went to them and made the step late.
    add("a");
    add("b");
    see("a", 65);
    time_->advance(10000);
    see("b", 50);
    EXPECT_EQ(place(), "b");
}

TEST_F(run_placement_test, a_server_that_was_in_trouble_is_tried_again) {
    // A server was four times slower for some seconds. Judged by that for
    // good it would stand idle for the rest of the day.
    add("a", 1);
    add("b", 1);
    add("c", 1);
    see("a", 200);
    see("b", 50);
    see("c", 50);
    EXPECT_NE(place(), "a");
    EXPECT_EQ(slow().size(), 1U);
    time_->advance(10000);
    see("b", 50);
    see("c", 50);
    EXPECT_TRUE(slow().empty());
    table_.on_request_started(sampler_id("b"), 1000);
    table_.on_request_started(sampler_id("c"), 1000);
    EXPECT_EQ(place(), "a");
}

TEST_F(run_placement_test, a_new_server_counts_as_a_usual_one) {
    for (const char* id : {"a", "b", "c", "new"}) {
        add(id);
    }
    see("a", 50);
    see("b", 50);
    see("c", 65);
    EXPECT_NE(place(), "new");
    table_.on_request_started(sampler_id("a"), 1000);
    table_.on_request_started(sampler_id("b"), 1000);
    EXPECT_EQ(place(), "new");
}

TEST_F(run_placement_test, tells_what_keeps_a_run_from_each_server) {
    for (const char* id : {"a", "b", "c", "d", "e", "f", "g"}) {
        add(id, 1);
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

TEST_F(run_placement_test, a_load_keeps_only_the_runs_of_its_own_model_away) {
    // Three trainers share the servers, and some server always loads the
    // weights of one of them. It refuses new runs of that model alone; left
    // alone by all three, a fifth of the places were missing at any time and
    // steps began late.
    registration r;
    r.service = engines;
    r.slots = 8;
    r.versions = {{"m", 1}, {"other", 1}};
    table_.put(sampler_id("a"), r);
    table_.set_loading(sampler_id("a"), "other", 1000);
    EXPECT_EQ(place(), "a");
    table_.set_loading(sampler_id("a"), "m", 1000);
    EXPECT_EQ(place(), "");
    time_->advance(1000);
    EXPECT_EQ(place(), "a");
    table_.set_loading(sampler_id("a"), "m", 1000);
    table_.clear_loading_of(sampler_id("a"));
    EXPECT_EQ(place(), "a");
}

/// A fleet of servers that differ in all that decides on a place.
class run_placement_fleet_test : public run_placement_test {
protected:
    void add_fleet(int count, unsigned seed) {
        std::mt19937 random(seed);
        const auto draw = [&random](int below) {
            return static_cast<int>(random() % static_cast<unsigned>(below));
        };
        table_.set_memory_tokens(engines, 4000);
        time_->advance(5000);
        for (int n = 0; n < count; ++n) {
            const auto id = "s" + std::to_string(100000 + n);
            const sampler_id known(id);
            add(id.c_str(), 1 + draw(6));
            table_.set_observed_version(known, "m", draw(3));
            for (int r = draw(5); r > 0; --r) {
                table_.on_request_started(known, draw(1500));
            }
            if (draw(2) == 0) {
                table_.on_event(known, 30 + draw(60));
            }
            if (draw(9) == 0) {
                table_.block(known, 100);
            }
            if (draw(9) == 0) {
                table_.set_loading(known, "m", 100);
            }
        }
        time_->advance(50);
    }

    /// Returns what a run costs at a server; nothing where there is no place.
    std::optional<double> cost(const sampler_row& row, std::int64_t tokens) {
        const bool away = clock_.now() < row.blocked_until ||
                          row.loading_until.count("m") != 0 ||
                          row.version_of("m") < 1;
        if (away || row.in_flight >= row.registered.slots) {
            return std::nullopt;
        }
        const double ahead = static_cast<double>(row.version_of("m") - 1);
        const double over = table_.memory_share(row, tokens) - 0.85;
        const double pace =
            row.event_interval_ms > 0 ? row.event_interval_ms : usual();
        return pace * (1 + 0.25 * row.in_flight / row.registered.slots +
                       0.04 * ahead + 3 * std::max(0.0, over));
    }

    double usual() const {
        std::vector<double> paces;
        for (const auto& [id, row] : table_.rows()) {
            if (row.event_interval_ms > 0) {
                paces.push_back(row.event_interval_ms);
            }
        }
        std::sort(paces.begin(), paces.end());
        return paces[paces.size() / 2];
    }
};

TEST_F(run_placement_fleet_test, finds_what_a_look_at_each_server_finds) {
    // Servers are ranked once and looked at again only as they change. A place
    // that is taken in wrongly would send all runs of a step to a server that
    // is full or slow.
    for (unsigned seed = 1; seed <= 20; ++seed) {
        table_ = sampler_table(clock_);
        add_fleet(60, seed);
        run_placement places(table_, clock_.now());
        std::mt19937 random(seed);
        for (int n = 0; n < 150; ++n) {
            const auto tokens = static_cast<std::int64_t>(random() % 3000);
            std::optional<double> least;
            int free = 0;
            for (const auto& [id, row] : table_.rows()) {
                const auto c = cost(row, tokens);
                free += c ? row.registered.slots - row.in_flight : 0;
                least = c && (!least || *c < *least) ? c : least;
            }
            const run_requirements needs{engines, "m", 1, tokens};
            ASSERT_EQ(places.free_slots(needs), free);
            const auto to = places.find_best(needs);
            ASSERT_EQ(to.has_value(), least.has_value());
            if (to) {
                EXPECT_NEAR(*cost(table_.rows().at(*to), tokens), *least, 1e-6);
                table_.on_request_started(*to, tokens);
                places.update_server(*to);
            }
            const auto ended = std::next(table_.rows().begin(),
                                         static_cast<long>(random() % 60));
            table_.on_request_ended(ended->first, 500);
            places.update_server(ended->first);
        }
    }
}

TEST_F(run_placement_fleet_test,
       a_step_does_not_look_at_all_servers_for_each_run) {
    // Two thousand servers, and a step with hundreds of items: an owner that
    // looked through all servers for each of them spent its whole processor
    // on it, and its events, renewals and listings came late.
    constexpr int servers = 2000;
    constexpr int items = 500;
    add_fleet(servers, 1);
    run_placement places(table_, clock_.now());
    for (int n = 0; n < items; ++n) {
        const run_requirements needs{engines, "m", 1, 100};
        const auto to = places.find_best(needs);
        ASSERT_TRUE(to);
        places.free_slots(needs);
        table_.on_request_started(*to, 100);
        places.update_server(*to);
    }
    // Once all servers for what is usual and once for the ranking; for each
    // run those with memory that will not do and some that tie.
    EXPECT_LE(places.servers_examined(), 2 * servers + 10 * items);
}

} // namespace

} // namespace hibiscus::samplers
