#include "hibiscus/samplers/placement.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>

namespace hibiscus::samplers {

namespace {

const service_name engines("engines");

class placement_test : public testing::Test {
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
            table_.event(sampler_id(id), pace);
        }
    }

    std::string place() {
        const auto to =
            place_run(table_, {engines, "m", 1, 1000}, clock_.now());
        return to ? to->str() : "";
    }

    std::string plain() {
        const auto to =
            place_plain(table_, engines, base::zone_id("z"), {}, clock_.now());
        return to ? to->str() : "";
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    sampler_table table_{clock_};
};

TEST_F(placement_test, a_slower_server_that_was_idle_is_not_the_fastest) {
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

TEST_F(placement_test, a_server_that_was_in_trouble_is_tried_again) {
    // A server was four times slower for some seconds. Judged by that for
    // good it would stand idle for the rest of the day.
    add("a", 1);
    add("b", 1);
    add("c", 1);
    see("a", 200);
    see("b", 50);
    see("c", 50);
    EXPECT_NE(place(), "a");
    EXPECT_EQ(slow_samplers(table_, engines, clock_.now()).size(), 1U);
    time_->advance(10000);
    see("b", 50);
    see("c", 50);
    EXPECT_TRUE(slow_samplers(table_, engines, clock_.now()).empty());
    table_.started(sampler_id("b"), 1000);
    table_.started(sampler_id("c"), 1000);
    EXPECT_EQ(place(), "a");
}

TEST_F(placement_test, a_new_server_counts_as_a_usual_one) {
    for (const char* id : {"a", "b", "c", "new"}) {
        add(id);
    }
    see("a", 50);
    see("b", 50);
    see("c", 65);
    EXPECT_NE(place(), "new");
    table_.started(sampler_id("a"), 1000);
    table_.started(sampler_id("b"), 1000);
    EXPECT_EQ(place(), "new");
}

TEST_F(placement_test, a_load_keeps_only_the_runs_of_its_own_model_away) {
    // Three trainers share the servers, and some server always loads the
    // weights of one of them. It refuses new runs of that model alone; left
    // alone by all three, a fifth of the places were missing at any time and
    // steps began late.
    registration r;
    r.service = engines;
    r.slots = 8;
    r.versions = {{"m", 1}, {"other", 1}};
    table_.put(sampler_id("a"), r);
    table_.loading(sampler_id("a"), "other", 1000);
    EXPECT_EQ(place(), "a");
    table_.loading(sampler_id("a"), "m", 1000);
    EXPECT_EQ(place(), "");
    time_->advance(1000);
    EXPECT_EQ(place(), "a");
    table_.loading(sampler_id("a"), "m", 1000);
    table_.loaded(sampler_id("a"));
    EXPECT_EQ(place(), "a");
}

TEST_F(placement_test, requests_now_and_then_go_to_the_server_known_already) {
    // A node gets a lookup each second. Went it through the servers in turn,
    // each lookup would wait for a new connection.
    for (const char* id : {"a", "b", "c"}) {
        add(id);
    }
    time_->advance(1);
    const auto first = plain();
    for (int n = 0; n < 10; ++n) {
        table_.answered(sampler_id(first), 30);
        time_->advance(1000);
        EXPECT_EQ(plain(), first);
    }
    table_.started(sampler_id(first));
    EXPECT_NE(plain(), first);
}

TEST_F(placement_test, a_server_that_answers_slowly_is_left) {
    add("a");
    add("b");
    time_->advance(1);
    const auto first = plain();
    for (int n = 0; n < 60; ++n) {
        table_.answered(sampler_id(first), 400);
    }
    table_.answered(sampler_id(first == "a" ? "b" : "a"), 30);
    time_->advance(1000);
    EXPECT_NE(plain(), first);
}

TEST_F(placement_test, processes_choose_differently_among_equal_servers) {
    // All nodes start at once and know nothing of the servers. If all chose
    // the first by name, it alone would get their first requests.
    std::set<std::string> chosen;
    for (std::uint64_t salt = 1; salt <= 40; ++salt) {
        sampler_table table(clock_, salt);
        for (const char* id : {"a", "b", "c"}) {
            registration r;
            r.service = engines;
            table.put(sampler_id(id), r);
        }
        chosen.insert(
            place_plain(table, engines, base::zone_id("z"), {}, 0)->str());
    }
    EXPECT_EQ(chosen.size(), 3U);
}

} // namespace

} // namespace hibiscus::samplers
