#include "hibiscus/batch/ownership.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace hibiscus::batch {

namespace {

class ownership_test : public testing::Test {
protected:
    void write(const std::string& node, const std::string& incarnation,
               bool left = false) {
        ledger_.apply({to_text(owner_key{}),
                       encode(owner_record{base::node_id(node), incarnation, 1,
                                           ++beats_, left}),
                       at_++});
    }

    ownership_step next() { return mine_.next(ledger_, time_->now()); }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    ledger ledger_{clock_};
    ownership mine_{clock_, base::node_id("n1"), "x", {}, 0.5, 1};
    std::int64_t beats_ = 0;
    store::log_offset at_ = 0;
};

TEST_F(ownership_test, claims_what_nobody_owns) {
    time_->advance(60);
    EXPECT_EQ(next(), ownership_step::claim);
}

TEST_F(ownership_test, renews_what_it_owns) {
    write("n1", "x");
    mine_.renewed();
    EXPECT_EQ(next(), ownership_step::nothing);
    time_->advance(200);
    EXPECT_EQ(next(), ownership_step::renew);
}

TEST_F(ownership_test, a_renewal_that_does_not_come_through_is_overdue) {
    // Renewals ride with the listing of results. While the store takes no
    // texts from the owner, nothing is listed; the others would take the jobs
    // from an owner that lives.
    write("n1", "x");
    mine_.renewed();
    time_->advance(399);
    EXPECT_FALSE(mine_.overdue());
    time_->advance(1);
    EXPECT_TRUE(mine_.overdue());
    mine_.renewed();
    EXPECT_FALSE(mine_.overdue());
}

TEST_F(ownership_test, claims_from_an_owner_that_is_silent) {
    write("n2", "y");
    time_->advance(1059);
    EXPECT_EQ(next(), ownership_step::nothing);
    time_->advance(1);
    EXPECT_EQ(next(), ownership_step::claim);
}

TEST_F(ownership_test, an_outage_of_the_store_is_not_the_owners_silence) {
    // While the store is down no owner can renew. If all nodes claimed at its
    // return, each outage would cost the runs that the owner has under way.
    write("n2", "y");
    time_->advance(10000);
    mine_.contact(true);
    EXPECT_EQ(next(), ownership_step::nothing);
    time_->advance(1060);
    EXPECT_EQ(next(), ownership_step::claim);
}

TEST_F(ownership_test, an_old_view_shows_no_silence) {
    write("n2", "y");
    time_->advance(5000);
    EXPECT_EQ(mine_.next(ledger_, 500), ownership_step::nothing);
}

TEST_F(ownership_test, claims_at_once_after_a_restart_of_the_owner_itself) {
    // All nodes are killed and start again. Nobody could own the jobs for a
    // second if the former owner's node waited for itself.
    write("n1", "before");
    EXPECT_EQ(next(), ownership_step::claim);
}

TEST_F(ownership_test, claims_soon_from_an_owner_that_left) {
    write("n2", "y", true);
    time_->advance(60);
    EXPECT_EQ(next(), ownership_step::claim);
}

TEST_F(ownership_test, a_small_node_lets_larger_ones_go_first) {
    // A node with an eighth of a core takes over the jobs of a large fleet:
    // it can't keep up with the events of a step's beginning.
    const ownership small(clock_, base::node_id("n3"), "x", {}, 0.5, 0.12);
    write("n2", "y");
    time_->advance(1060);
    EXPECT_EQ(next(), ownership_step::claim);
    EXPECT_EQ(small.next(ledger_, time_->now()), ownership_step::nothing);
    time_->advance(500);
    EXPECT_EQ(small.next(ledger_, time_->now()), ownership_step::claim);
}

TEST_F(ownership_test, leaves_it_to_others_after_giving_it_up) {
    mine_.abstain();
    time_->advance(5999);
    EXPECT_EQ(next(), ownership_step::nothing);
    time_->advance(1);
    EXPECT_EQ(next(), ownership_step::claim);
}

} // namespace

} // namespace hibiscus::batch
