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
    void add_server(const char* id, int slots = 8) {
        registration r;
        r.service = engines;
        r.address = {"127.0.0.1", 1};
        r.slots = slots;
        r.versions["m"] = 1;
        table_.put(sampler_id(id), r);
    }

    std::string choose_server() {
        const auto chosen = choose_plain_server(
            table_, engines, base::zone_id("z"), {}, clock_.now());
        return chosen ? chosen->str() : "";
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    sampler_table table_{clock_};
};

// A node gets one lookup per second. If it took the servers in turn, each
// lookup would wait for a new connection.
TEST_F(plain_placement_test,
       infrequent_requests_stay_at_a_server_with_a_warm_connection) {
    for (const char* id : {"a", "b", "c"}) {
        add_server(id);
    }
    time_->advance(1);
    const auto first = choose_server();
    for (int n = 0; n < 10; ++n) {
        table_.on_response(sampler_id(first), 30);
        time_->advance(1000);
        EXPECT_EQ(choose_server(), first);
    }
    table_.on_request_started(sampler_id(first));
    EXPECT_NE(choose_server(), first);
}

TEST_F(plain_placement_test, a_server_with_slow_responses_is_avoided) {
    add_server("a");
    add_server("b");
    time_->advance(1);
    const auto first = choose_server();
    for (int n = 0; n < 60; ++n) {
        table_.on_response(sampler_id(first), 400);
    }
    table_.on_response(sampler_id(first == "a" ? "b" : "a"), 30);
    time_->advance(1000);
    EXPECT_NE(choose_server(), first);
}

// All nodes start at the same time and know nothing about the servers. If all
// chose the first one by name, that server alone would get their first
// requests.
TEST_F(plain_placement_test, processes_choose_differently_among_equal_servers) {
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
