#include "hibiscus/batch/owner_lease.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace hibiscus::batch {

namespace {

class owner_lease_test : public testing::Test {
protected:
    void write(const std::string& node, const std::string& incarnation,
               bool left = false) {
        ledger_.apply({format_key(owner_key{}),
                       encode(owner_record{base::node_id(node), incarnation, 1,
                                           ++beats_, left}),
                       at_++});
    }

    lease_action next() { return mine_.next_action(ledger_, time_->now()); }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    job_table ledger_{clock_};
    owner_lease mine_{clock_, base::node_id("n1"), "x", {}, 0.5, 1};
    std::int64_t beats_ = 0;
    store::log_offset at_ = 0;
};

TEST_F(owner_lease_test, claims_what_nobody_owns) {
    time_->advance(60);
    EXPECT_EQ(next(), lease_action::claim);
}

TEST_F(owner_lease_test, renews_what_it_owns) {
    write("n1", "x");
    mine_.on_renewed();
    EXPECT_EQ(next(), lease_action::none);
    time_->advance(200);
    EXPECT_EQ(next(), lease_action::renew);
}

TEST_F(owner_lease_test, a_renewal_that_does_not_come_through_is_overdue) {
    // Renewals ride with the listing of results. While the store takes no
    // texts from the owner, nothing is listed; the others would take the jobs
    // from an owner that lives.
    write("n1", "x");
    mine_.on_renewed();
    time_->advance(399);
    EXPECT_FALSE(mine_.is_renewal_overdue());
    time_->advance(1);
    EXPECT_TRUE(mine_.is_renewal_overdue());
    mine_.on_renewed();
    EXPECT_FALSE(mine_.is_renewal_overdue());
}

TEST_F(owner_lease_test, claims_from_an_owner_that_is_silent) {
    write("n2", "y");
    time_->advance(1059);
    EXPECT_EQ(next(), lease_action::none);
    time_->advance(1);
    EXPECT_EQ(next(), lease_action::claim);
}

TEST_F(owner_lease_test, an_outage_of_the_store_is_not_the_owners_silence) {
    // While the store is down no owner can renew. If all nodes claimed at its
    // return, each outage would cost the runs that the owner has under way.
    write("n2", "y");
    time_->advance(10000);
    mine_.set_store_reachable(true);
    EXPECT_EQ(next(), lease_action::none);
    time_->advance(1060);
    EXPECT_EQ(next(), lease_action::claim);
}

TEST_F(owner_lease_test, an_old_view_shows_no_silence) {
    write("n2", "y");
    time_->advance(5000);
    EXPECT_EQ(mine_.next_action(ledger_, 500), lease_action::none);
}

TEST_F(owner_lease_test, claims_at_once_after_a_restart_of_the_owner_itself) {
    // All nodes are killed and start again. Nobody could own the jobs for a
    // second if the former owner's node waited for itself.
    write("n1", "before");
    EXPECT_EQ(next(), lease_action::claim);
}

TEST_F(owner_lease_test, claims_soon_from_an_owner_that_left) {
    write("n2", "y", true);
    time_->advance(60);
    EXPECT_EQ(next(), lease_action::claim);
}

TEST_F(owner_lease_test, a_small_node_lets_larger_ones_go_first) {
    // A node with an eighth of a core takes over the jobs of a large fleet:
    // it can't keep up with the events of a step's beginning.
    const owner_lease small(clock_, base::node_id("n3"), "x", {}, 0.5, 0.12);
    write("n2", "y");
    time_->advance(1060);
    EXPECT_EQ(next(), lease_action::claim);
    EXPECT_EQ(small.next_action(ledger_, time_->now()), lease_action::none);
    time_->advance(500);
    EXPECT_EQ(small.next_action(ledger_, time_->now()), lease_action::claim);
}

TEST_F(owner_lease_test, leaves_it_to_others_after_giving_it_up) {
    mine_.start_cooldown();
    time_->advance(5999);
    EXPECT_EQ(next(), lease_action::none);
    time_->advance(1);
    EXPECT_EQ(next(), lease_action::claim);
}

} // namespace

} // namespace hibiscus::batch
