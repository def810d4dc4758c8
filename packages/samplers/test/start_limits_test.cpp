#include "hibiscus/samplers/run_placement.hpp"
#include "hibiscus/samplers/start_limits.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <vector>

namespace hibiscus::samplers {

namespace {

TEST(start_limits_test, limits_follow_from_what_a_server_tolerates) {
    const auto limits = make_start_limits({8.1, 1.5, 5});
    EXPECT_EQ(limits.warming_up, 8);
    EXPECT_EQ(limits.usual, 17);
    const auto without_bound = make_start_limits({0.5, 0, 0});
    EXPECT_EQ(without_bound.warming_up, 1);
    EXPECT_FALSE(without_bound.usual);
}

class start_limited_placement_test : public testing::Test {
protected:
    static constexpr int slots = 8;

    start_limited_placement_test() {
        table_.set_start_limits({{service_, start_limits{2, 5}}});
    }

    void put_server(base::millis warm_up_ms, std::int64_t started_ms = 1) {
        registration r;
        r.service = service_;
        r.address = {"127.0.0.1", 1};
        r.slots = slots;
        r.versions["m"] = 1;
        r.started_ms = started_ms;
        r.warm_up_ms = warm_up_ms;
        table_.put(server_, r);
    }

    /// Starts as many short runs as may be started now and returns how many.
    int start_runs() {
        run_placement placement(table_, clock_.now());
        int runs = 0;
        while (placement.find_best({service_, "m", 1, 1000})) {
            ++runs;
            table_.on_request_started(server_);
            table_.on_request_ended(server_);
            placement.update_server(server_);
        }
        return runs;
    }

    /// Returns the largest number of runs that are started in a second, of so
    /// many seconds.
    int most_started_per_second(int seconds) {
        constexpr int ticks_per_s = 10;
        std::vector<int> started;
        for (int n = 0; n < seconds * ticks_per_s; ++n) {
            started.push_back(start_runs());
            time_->advance(1000 / ticks_per_s);
        }
        int most = 0;
        for (auto first = started.begin(); started.end() - first >= ticks_per_s;
             ++first) {
            most =
                std::max(most, std::accumulate(first, first + ticks_per_s, 0));
        }
        return most;
    }

    service_name service_{"llm"};
    sampler_id server_{"a"};
    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    sampler_table table_{clock_};
};

// Guards against more runs at a server that warms up than it tolerates.
TEST_F(start_limited_placement_test, a_server_that_warms_up_gets_few_runs) {
    put_server(5000);
    EXPECT_EQ(most_started_per_second(4), 2);
}

// Guards against many runs at a server that begins to warm up unnoticed.
TEST_F(start_limited_placement_test, other_servers_keep_to_the_usual_limit) {
    put_server(0);
    EXPECT_EQ(most_started_per_second(4), 5);
}

TEST_F(start_limited_placement_test, the_limit_rises_once_a_server_is_warm) {
    put_server(3000);
    EXPECT_EQ(start_runs(), 2);
    time_->advance(3000);
    EXPECT_EQ(start_runs(), 5);
}

// Guards against a restart after which the runs of the last second are
// forgotten. The new process may have got them.
TEST_F(start_limited_placement_test, runs_before_a_restart_count) {
    put_server(0);
    EXPECT_EQ(start_runs(), 5);
    put_server(5000, 2);
    EXPECT_EQ(start_runs(), 0);
}

TEST_F(start_limited_placement_test, servers_without_limits_fill_their_slots) {
    table_.set_start_limits({});
    put_server(5000);
    EXPECT_EQ(run_placement(table_, clock_.now())
                  .free_slots({service_, "m", 1, 1000}),
              slots);
}

TEST_F(start_limited_placement_test, free_slots_are_those_that_may_be_used) {
    put_server(5000);
    run_placement placement(table_, clock_.now());
    EXPECT_EQ(placement.free_slots({service_, "m", 1, 1000}), 2);
    EXPECT_EQ(placement.count_servers({service_, "m", 1, 1000}).available, 1);
    EXPECT_EQ(start_runs(), 2);
    EXPECT_EQ(run_placement(table_, clock_.now())
                  .count_servers({service_, "m", 1, 1000})
                  .start_limited,
              1);
}

} // namespace

} // namespace hibiscus::samplers
