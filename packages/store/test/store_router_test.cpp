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

    /// Lets time pass in which the node looks at its calls as often as it does.
    void advance_with_checks(base::millis ms) {
        constexpr base::millis look_ms = 50;
        for (; ms > 0; ms -= look_ms) {
            time_->advance(std::min(ms, look_ms));
            router_.check_unreachable();
        }
    }
};

TEST_F(store_router_test, goes_to_the_store_while_it_serves) {
    const auto route = router_.begin_call(0, journal_);
    EXPECT_EQ(route.address, store_address_);
    router_.end_call(route, true, true);
    EXPECT_FALSE(router_.check_unreachable());
}

TEST_F(store_router_test, goes_through_others_when_the_store_turns_it_away) {
    // The store refuses this node while it serves the others. The jobs that
    // the node owns would stand still, and its callers be refused.
    router_.end_call(router_.begin_call(0, journal_), false, false);
    const auto route = router_.begin_call(0, journal_);
    EXPECT_TRUE(route.relayed);
    EXPECT_FALSE(route.address == store_address_);
}

TEST_F(store_router_test, a_call_that_hangs_is_noticed_before_its_timeout) {
    // A partition drops packets: a call gets no answer and no error.
    router_.begin_call(300, journal_);
    advance_with_checks(650);
    EXPECT_FALSE(router_.check_unreachable());
    advance_with_checks(100);
    EXPECT_TRUE(router_.begin_call(0, journal_).relayed);
}

// A node that was busy for longer than the store takes has not lost it.
TEST_F(store_router_test, its_own_delay_is_not_the_delay_of_the_store) {
    for (int n = 0; n < 10; ++n) {
        const auto quick = router_.begin_call(0, journal_);
        time_->advance(8);
        router_.end_call(quick, true, true);
    }
    const auto read = router_.begin_call(0, journal_);
    const auto other = router_.begin_call(0, journal_);
    time_->advance(400);
    EXPECT_FALSE(router_.begin_call(0, journal_).relayed);
    router_.end_call(read, true, true);
    EXPECT_FALSE(router_.check_unreachable());
    router_.end_call(other, true, true);
    advance_with_checks(1000);
    EXPECT_TRUE(router_.check_unreachable());
}

// The store refuses one partition and serves all others. Tried by another one,
// it would seem to be back at once, and be lost again with the next call.
TEST_F(store_router_test, tries_the_partition_that_was_refused) {
    router_.end_call(router_.begin_call(0, journal_), true, true);
    router_.end_call(router_.begin_call(0, {"texts", 7}), false, true);
    EXPECT_EQ(router_.failed_partition().topic, "texts");
    EXPECT_EQ(router_.failed_partition().number, 7);
}

TEST_F(store_router_test, tries_the_partition_whose_call_hung) {
    router_.begin_call(0, {"texts", 7});
    advance_with_checks(500);
    EXPECT_TRUE(router_.check_unreachable());
    EXPECT_EQ(router_.failed_partition().number, 7);
}

TEST_F(store_router_test, leaves_out_a_peer_that_could_not_help) {
    router_.end_call(router_.begin_call(0, journal_), false, false);
    const auto first = router_.begin_call(0, journal_);
    router_.end_call(first, false, false);
    for (int n = 0; n < 4; ++n) {
        EXPECT_FALSE(router_.begin_call(0, journal_).address == first.address);
    }
    time_->advance(1001);
    bool again = false;
    for (int n = 0; n < 4; ++n) {
        again =
            again || router_.begin_call(0, journal_).address == first.address;
    }
    EXPECT_TRUE(again);
}

TEST_F(store_router_test, keeps_to_a_peer_that_helped) {
    // The store turns a third of the nodes away. A node that went on asking
    // all others in turn failed with every third call; an owner that stores
    // several texts at once listed nothing and lost the jobs.
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

TEST_F(store_router_test, a_call_of_which_nothing_was_done_goes_out_again) {
    router_.end_call(router_.begin_call(0, journal_), false, true);
    EXPECT_TRUE(router_.should_retry(1));
    EXPECT_FALSE(router_.should_retry(4));
}

TEST_F(store_router_test,
       nothing_is_sent_again_while_the_store_is_away_for_all) {
    // The store is down. If each call of 75 nodes went out four times, its
    // return would meet a crowd.
    peers_.clear();
    for (int n = 0; n < 40; ++n) {
        peers_.push_back({"10.0.1." + std::to_string(n), 2});
    }
    router_.end_call(router_.begin_call(0, journal_), false, true);
    int sent = 0;
    while (router_.should_retry(1) && sent < 100) {
        router_.end_call(router_.begin_call(0, journal_), false, true);
        ++sent;
    }
    EXPECT_EQ(sent, 8);
    router_.end_call(router_.begin_call(0, journal_), true, true);
    EXPECT_TRUE(router_.should_retry(1));
}

TEST_F(store_router_test, nothing_is_sent_again_without_a_peer) {
    peers_.clear();
    router_.end_call(router_.begin_call(0, journal_), false, true);
    EXPECT_FALSE(router_.should_retry(1));
}

TEST_F(store_router_test, returns_to_the_store_once_it_was_tried) {
    router_.begin_call(0, journal_);
    advance_with_checks(1000);
    EXPECT_TRUE(router_.check_unreachable());
    router_.mark_reachable(8);
    EXPECT_FALSE(router_.begin_call(0, journal_).relayed);
}

TEST_F(store_router_test, knows_an_outage_of_the_store_from_one_of_its_own) {
    // The store is down for all: what this node knows is as new as it gets,
    // and it may go on. If only this node is cut off, others may know that a
    // job has ended.
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

TEST_F(store_router_test, tries_the_store_itself_if_there_is_nobody_else) {
    peers_.clear();
    router_.end_call(router_.begin_call(0, journal_), false, false);
    EXPECT_EQ(router_.begin_call(0, journal_).address, store_address_);
}

} // namespace

} // namespace hibiscus::store
