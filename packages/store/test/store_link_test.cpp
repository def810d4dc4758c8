#include "hibiscus/store/store_link.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace hibiscus::store {

namespace {

class store_link_test : public testing::Test {
protected:
    const base::endpoint store_{"10.0.0.1", 1};
    const partition journal_{"journal", 0};
    std::vector<base::endpoint> peers_{{"10.0.0.2", 2}, {"10.0.0.3", 2}};
    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    store_link link_{base::clock(time_), store_, [this] { return peers_; }};

    /// Lets time pass in which the node looks at its calls as often as it does.
    void pass(base::millis ms) {
        constexpr base::millis look_ms = 50;
        for (; ms > 0; ms -= look_ms) {
            time_->advance(std::min(ms, look_ms));
            link_.away();
        }
    }
};

TEST_F(store_link_test, goes_to_the_store_while_it_serves) {
    const auto route = link_.begin(0, journal_);
    EXPECT_EQ(route.to, store_);
    link_.ended(route, true, true);
    EXPECT_FALSE(link_.away());
}

TEST_F(store_link_test, goes_through_others_when_the_store_turns_it_away) {
    // The store refuses this node while it serves the others. The jobs that
    // the node owns would stand still, and its callers be refused.
    link_.ended(link_.begin(0, journal_), false, false);
    const auto route = link_.begin(0, journal_);
    EXPECT_TRUE(route.relayed);
    EXPECT_FALSE(route.to == store_);
}

TEST_F(store_link_test, a_call_that_hangs_is_noticed_before_its_timeout) {
    // A partition drops packets: a call gets no answer and no error.
    link_.begin(300, journal_);
    pass(650);
    EXPECT_FALSE(link_.away());
    pass(100);
    EXPECT_TRUE(link_.begin(0, journal_).relayed);
}

// A node that was busy for longer than the store takes has not lost it.
TEST_F(store_link_test, its_own_delay_is_not_the_delay_of_the_store) {
    for (int n = 0; n < 10; ++n) {
        const auto quick = link_.begin(0, journal_);
        time_->advance(8);
        link_.ended(quick, true, true);
    }
    const auto read = link_.begin(0, journal_);
    const auto other = link_.begin(0, journal_);
    time_->advance(400);
    EXPECT_FALSE(link_.begin(0, journal_).relayed);
    link_.ended(read, true, true);
    EXPECT_FALSE(link_.away());
    link_.ended(other, true, true);
    pass(1000);
    EXPECT_TRUE(link_.away());
}

// The store refuses one partition and serves all others. Tried by another one,
// it would seem to be back at once, and be lost again with the next call.
TEST_F(store_link_test, tries_the_partition_that_was_refused) {
    link_.ended(link_.begin(0, journal_), true, true);
    link_.ended(link_.begin(0, {"texts", 7}), false, true);
    EXPECT_EQ(link_.lost_partition().topic, "texts");
    EXPECT_EQ(link_.lost_partition().number, 7);
}

TEST_F(store_link_test, tries_the_partition_whose_call_hung) {
    link_.begin(0, {"texts", 7});
    pass(500);
    EXPECT_TRUE(link_.away());
    EXPECT_EQ(link_.lost_partition().number, 7);
}

TEST_F(store_link_test, leaves_out_a_peer_that_could_not_help) {
    link_.ended(link_.begin(0, journal_), false, false);
    const auto first = link_.begin(0, journal_);
    link_.ended(first, false, false);
    for (int n = 0; n < 4; ++n) {
        EXPECT_FALSE(link_.begin(0, journal_).to == first.to);
    }
    time_->advance(1001);
    bool again = false;
    for (int n = 0; n < 4; ++n) {
        again = again || link_.begin(0, journal_).to == first.to;
    }
    EXPECT_TRUE(again);
}

TEST_F(store_link_test, keeps_to_a_peer_that_helped) {
    // The store turns a third of the nodes away. A node that went on asking
    // all others in turn failed with every third call; an owner that stores
    // several texts at once listed nothing and lost the jobs.
    peers_.push_back({"10.0.0.4", 2});
    link_.ended(link_.begin(0, journal_), false, true);
    for (int n = 0; n < 3; ++n) {
        const auto route = link_.begin(0, journal_);
        link_.ended(route, route.to == peers_[1], true);
    }
    for (int n = 0; n < 20; ++n) {
        time_->advance(300);
        const auto route = link_.begin(0, journal_);
        EXPECT_EQ(route.to, peers_[1]);
        link_.ended(route, true, true);
    }
}

TEST_F(store_link_test, a_call_of_which_nothing_was_done_goes_out_again) {
    link_.ended(link_.begin(0, journal_), false, true);
    EXPECT_TRUE(link_.again(1));
    EXPECT_FALSE(link_.again(4));
}

TEST_F(store_link_test, nothing_is_sent_again_while_the_store_is_away_for_all) {
    // The store is down. If each call of 75 nodes went out four times, its
    // return would meet a crowd.
    peers_.clear();
    for (int n = 0; n < 40; ++n) {
        peers_.push_back({"10.0.1." + std::to_string(n), 2});
    }
    link_.ended(link_.begin(0, journal_), false, true);
    int sent = 0;
    while (link_.again(1) && sent < 100) {
        link_.ended(link_.begin(0, journal_), false, true);
        ++sent;
    }
    EXPECT_EQ(sent, 8);
    link_.ended(link_.begin(0, journal_), true, true);
    EXPECT_TRUE(link_.again(1));
}

TEST_F(store_link_test, nothing_is_sent_again_without_a_peer) {
    peers_.clear();
    link_.ended(link_.begin(0, journal_), false, true);
    EXPECT_FALSE(link_.again(1));
}

TEST_F(store_link_test, returns_to_the_store_once_it_was_tried) {
    link_.begin(0, journal_);
    pass(1000);
    EXPECT_TRUE(link_.away());
    link_.back(8);
    EXPECT_FALSE(link_.begin(0, journal_).relayed);
}

TEST_F(store_link_test, knows_an_outage_of_the_store_from_one_of_its_own) {
    // The store is down for all: what this node knows is as new as it gets,
    // and it may go on. If only this node is cut off, others may know that a
    // job has ended.
    time_->advance(1);
    link_.ended(link_.begin(0, journal_), false, false);
    EXPECT_FALSE(link_.down_for_all());
    auto route = link_.begin(0, journal_);
    link_.ended(route, false, false);
    EXPECT_FALSE(link_.down_for_all());
    route = link_.begin(0, journal_);
    link_.ended(route, false, true);
    EXPECT_TRUE(link_.down_for_all());
    time_->advance(1501);
    EXPECT_FALSE(link_.down_for_all());
}

TEST_F(store_link_test, tries_the_store_itself_if_there_is_nobody_else) {
    peers_.clear();
    link_.ended(link_.begin(0, journal_), false, false);
    EXPECT_EQ(link_.begin(0, journal_).to, store_);
}

} // namespace

} // namespace hibiscus::store
