#include "hibiscus/store/store_router.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace hibiscus::store {

namespace {

class store_router_test : public testing::Test {
protected:
    const base::endpoint store_address_{"10.0.0.1", 1};
    const partition journal_{"journal", 0};
    std::vector<base::endpoint> peers_{{"10.0.0.2", 2}, {"10.0.0.3", 2}};
    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    store_router router_{base::clock(time_), store_address_,
                         [this] { return peers_; }};

    /// Advances the time by `ms` and checks the router at its usual interval.
    void advance_with_checks(base::millis ms) {
        constexpr base::millis interval_ms = 50;
        for (; ms > 0; ms -= interval_ms) {
            time_->advance(std::min(ms, interval_ms));
            router_.check_unreachable();
        }
    }
};

TEST_F(store_router_test, calls_the_store_directly_while_it_is_reachable) {
    const auto route = router_.begin_call(0, journal_);
    EXPECT_EQ(route.address, store_address_);
    router_.end_call(route, true, true);
    EXPECT_FALSE(router_.check_unreachable());
}

TEST_F(store_router_test, uses_a_peer_when_the_store_rejects_this_node) {
    // Guards against a node whose jobs make no progress and whose callers are
    // rejected because the store rejects the calls of this node alone.
    router_.end_call(router_.begin_call(0, journal_), false, false);
    const auto route = router_.begin_call(0, journal_);
    EXPECT_TRUE(route.relayed);
    EXPECT_FALSE(route.address == store_address_);
}

// Guards against a node that treats the store as unreachable because the store
// has closed an idle connection.
TEST_F(store_router_test, an_abandoned_call_does_not_count_as_a_failure) {
    router_.abandon_call(router_.begin_call(0, journal_));
    advance_with_checks(5000);
    EXPECT_FALSE(router_.begin_call(0, journal_).relayed);
}

TEST_F(store_router_test, hanging_call_is_detected_before_its_timeout) {
    // A network partition drops packets: a call gets no response and no error.
    router_.begin_call(300, journal_);
    advance_with_checks(650);
    EXPECT_FALSE(router_.check_unreachable());
    advance_with_checks(100);
    EXPECT_TRUE(router_.begin_call(0, journal_).relayed);
}

// Guards against a node that treats the store as unreachable because its own
// thread was stalled for longer than the threshold.
TEST_F(store_router_test, own_stall_does_not_count_as_latency_of_the_store) {
    for (int n = 0; n < 10; ++n) {
        const auto fast_call = router_.begin_call(0, journal_);
        time_->advance(8);
        router_.end_call(fast_call, true, true);
    }
    const auto first_call = router_.begin_call(0, journal_);
    const auto second_call = router_.begin_call(0, journal_);
    time_->advance(400);
    EXPECT_FALSE(router_.begin_call(0, journal_).relayed);
    router_.end_call(first_call, true, true);
    EXPECT_FALSE(router_.check_unreachable());
    router_.end_call(second_call, true, true);
    advance_with_checks(1000);
    EXPECT_TRUE(router_.check_unreachable());
}

// The store rejects calls to one partition and serves all others. If another
// partition were probed, the store would seem reachable until the next call
// fails.
TEST_F(store_router_test, reports_the_partition_whose_call_was_rejected) {
    router_.end_call(router_.begin_call(0, journal_), true, true);
    router_.end_call(router_.begin_call(0, {"texts", 7}), false, true);
    EXPECT_EQ(router_.failed_partition().topic, "texts");
    EXPECT_EQ(router_.failed_partition().number, 7);
}

TEST_F(store_router_test, reports_the_partition_whose_call_was_overdue) {
    router_.begin_call(0, {"texts", 7});
    advance_with_checks(500);
    EXPECT_TRUE(router_.check_unreachable());
    EXPECT_EQ(router_.failed_partition().number, 7);
}

TEST_F(store_router_test, backs_off_from_a_peer_that_failed_to_relay) {
    router_.end_call(router_.begin_call(0, journal_), false, false);
    const auto failed_route = router_.begin_call(0, journal_);
    router_.end_call(failed_route, false, false);
    for (int n = 0; n < 4; ++n) {
        EXPECT_FALSE(router_.begin_call(0, journal_).address ==
                     failed_route.address);
    }
    time_->advance(1001);
    bool used_again = false;
    for (int n = 0; n < 4; ++n) {
        used_again = used_again || router_.begin_call(0, journal_).address ==
                                       failed_route.address;
    }
    EXPECT_TRUE(used_again);
}

TEST_F(store_router_test, prefers_a_peer_that_relayed_a_call) {
    // The store rejects a third of the nodes. Trying all peers in turn makes
    // every third call fail; a job owner that stores several texts at once then
    // commits no result and loses its jobs.
    peers_.push_back({"10.0.0.4", 2});
    router_.end_call(router_.begin_call(0, journal_), false, true);
    for (int n = 0; n < 3; ++n) {
        const auto route = router_.begin_call(0, journal_);
        router_.end_call(route, route.address == peers_[1], true);
    }
    for (int n = 0; n < 20; ++n) {
        time_->advance(300);
        const auto route = router_.begin_call(0, journal_);
        EXPECT_EQ(route.address, peers_[1]);
        router_.end_call(route, true, true);
    }
}

TEST_F(store_router_test, rejected_call_is_retried) {
    router_.end_call(router_.begin_call(0, journal_), false, true);
    EXPECT_TRUE(router_.should_retry(1));
    EXPECT_FALSE(router_.should_retry(4));
}

TEST_F(store_router_test, does_not_retry_while_the_store_is_down_for_all) {
    // Guards against a retry storm when the store recovers: 75 nodes would send
    // each call four times.
    peers_.clear();
    for (int n = 0; n < 40; ++n) {
        peers_.push_back({"10.0.1." + std::to_string(n), 2});
    }
    router_.end_call(router_.begin_call(0, journal_), false, true);
    int retries = 0;
    while (router_.should_retry(1) && retries < 100) {
        router_.end_call(router_.begin_call(0, journal_), false, true);
        ++retries;
    }
    EXPECT_EQ(retries, 8);
    router_.end_call(router_.begin_call(0, journal_), true, true);
    EXPECT_TRUE(router_.should_retry(1));
}

TEST_F(store_router_test, does_not_retry_without_a_peer) {
    peers_.clear();
    router_.end_call(router_.begin_call(0, journal_), false, true);
    EXPECT_FALSE(router_.should_retry(1));
}

TEST_F(store_router_test, calls_the_store_directly_after_a_successful_probe) {
    router_.begin_call(0, journal_);
    advance_with_checks(1000);
    EXPECT_TRUE(router_.check_unreachable());
    router_.mark_reachable(8);
    EXPECT_FALSE(router_.begin_call(0, journal_).relayed);
}

TEST_F(store_router_test,
       distinguishes_an_outage_of_the_store_from_a_partition_of_the_node) {
    // If the store is down for all nodes, the view of this node is current and
    // it may continue. If only this node is partitioned from the store, other
    // nodes may know that a job has ended.
    time_->advance(1);
    router_.end_call(router_.begin_call(0, journal_), false, false);
    EXPECT_FALSE(router_.is_store_down_for_all());
    auto route = router_.begin_call(0, journal_);
    router_.end_call(route, false, false);
    EXPECT_FALSE(router_.is_store_down_for_all());
    route = router_.begin_call(0, journal_);
    router_.end_call(route, false, true);
    EXPECT_TRUE(router_.is_store_down_for_all());
    time_->advance(1501);
    EXPECT_FALSE(router_.is_store_down_for_all());
}

TEST_F(store_router_test, calls_the_store_directly_if_there_is_no_peer) {
    peers_.clear();
    router_.end_call(router_.begin_call(0, journal_), false, false);
    EXPECT_EQ(router_.begin_call(0, journal_).address, store_address_);
}

} // namespace

} // namespace hibiscus::store
