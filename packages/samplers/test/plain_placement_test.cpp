#include "hibiscus/samplers/plain_placement.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>

namespace hibiscus::samplers {

namespace {

const service_name engines("engines");

class plain_placement_test : public testing::Test {
protected:
    void add(const char* id, int slots = 8) {
        registration r;
        r.service = engines;
        r.address = {"127.0.0.1", 1};
        r.slots = slots;
        r.versions["m"] = 1;
        table_.put(sampler_id(id), r);
    }

    std::string plain() {
        const auto to = choose_plain_server(table_, engines, base::zone_id("z"),
                                            {}, clock_.now());
        return to ? to->str() : "";
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    sampler_table table_{clock_};
};

TEST_F(plain_placement_test,
       requests_now_and_then_go_to_the_server_known_already) {
    // A node gets a lookup each second. Went it through the servers in turn,
    // each lookup would wait for a new connection.
    for (const char* id : {"a", "b", "c"}) {
        add(id);
    }
    time_->advance(1);
    const auto first = plain();
    for (int n = 0; n < 10; ++n) {
        table_.on_response(sampler_id(first), 30);
        time_->advance(1000);
        EXPECT_EQ(plain(), first);
    }
    table_.on_request_started(sampler_id(first));
    EXPECT_NE(plain(), first);
}

TEST_F(plain_placement_test, a_server_that_answers_slowly_is_left) {
    add("a");
    add("b");
    time_->advance(1);
    const auto first = plain();
    for (int n = 0; n < 60; ++n) {
        table_.on_response(sampler_id(first), 400);
    }
    table_.on_response(sampler_id(first == "a" ? "b" : "a"), 30);
    time_->advance(1000);
    EXPECT_NE(plain(), first);
}

TEST_F(plain_placement_test, processes_choose_differently_among_equal_servers) {
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
            choose_plain_server(table, engines, base::zone_id("z"), {}, 0)
                ->str());
    }
    EXPECT_EQ(chosen.size(), 3U);
}

} // namespace

} // namespace hibiscus::samplers
