#include "hibiscus/batch/owner_lease.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace hibiscus::batch {

namespace {

class owner_lease_test : public testing::Test {
protected:
    void write_owner(const std::string& node, const std::string& incarnation,
                     bool handed_over = false) {
        jobs_.apply({format_key(owner_key{}),
                     encode(owner_record{base::node_id(node), incarnation, 1,
                                         ++renewal_count_, handed_over}),
                     next_offset_++});
    }

    lease_action next_action() {
        return lease_.next_action(jobs_, time_->now());
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    job_table jobs_{clock_};
    owner_lease lease_{clock_, base::node_id("n1"), "x", {}, 0.5, 1};
    std::int64_t renewal_count_ = 0;
    store::log_offset next_offset_ = 0;
};

TEST_F(owner_lease_test, claims_if_there_is_no_owner) {
    time_->advance(60);
    EXPECT_EQ(next_action(), lease_action::claim);
}

// Guards against nodes that repeat a claim at each tick although another one
// has claimed the lease.
TEST_F(owner_lease_test, a_conflict_is_read_before_the_next_claim) {
    EXPECT_TRUE(lease_.may_claim(4));
    lease_.on_append_failed(store::append_conflict{7});
    EXPECT_FALSE(lease_.may_claim(6));
    EXPECT_TRUE(lease_.may_claim(7));
}

TEST_F(owner_lease_test, claims_that_the_store_refuses_are_spread) {
    int claims = 0;
    for (int tick = 0; tick < 80; ++tick) {
        if (lease_.may_claim(0)) {
            ++claims;
            lease_.on_append_failed(store::rejected{503});
        }
        time_->advance(25);
    }
    EXPECT_LE(claims, 15);
    EXPECT_GE(claims, 8);
    lease_.set_store_reachable(true);
    EXPECT_TRUE(lease_.may_claim(0));
}

TEST_F(owner_lease_test, renews_a_held_lease) {
    write_owner("n1", "x");
    lease_.on_renewed();
    EXPECT_EQ(next_action(), lease_action::none);
    time_->advance(200);
    EXPECT_EQ(next_action(), lease_action::renew);
}

TEST_F(owner_lease_test, a_renewal_that_is_not_stored_becomes_overdue) {
    // Renewals are appended together with committed results. While the store
    // rejects texts of the owner, nothing is committed, and other nodes would
    // claim the lease of a live owner.
    write_owner("n1", "x");
    lease_.on_renewed();
    time_->advance(399);
    EXPECT_FALSE(lease_.is_renewal_overdue());
    time_->advance(1);
    EXPECT_TRUE(lease_.is_renewal_overdue());
    lease_.on_renewed();
    EXPECT_FALSE(lease_.is_renewal_overdue());
}

TEST_F(owner_lease_test, claims_after_the_lease_timeout) {
    write_owner("n2", "y");
    time_->advance(1059);
    EXPECT_EQ(next_action(), lease_action::none);
    time_->advance(1);
    EXPECT_EQ(next_action(), lease_action::claim);
}

TEST_F(owner_lease_test, a_store_outage_does_not_expire_the_lease) {
    // No owner can renew during a store outage. If all nodes claimed
    // afterwards, each outage would cost the owner's runs in flight.
    write_owner("n2", "y");
    time_->advance(10000);
    lease_.set_store_reachable(true);
    EXPECT_EQ(next_action(), lease_action::none);
    time_->advance(1060);
    EXPECT_EQ(next_action(), lease_action::claim);
}

TEST_F(owner_lease_test, a_stale_view_does_not_expire_the_lease) {
    write_owner("n2", "y");
    time_->advance(5000);
    EXPECT_EQ(lease_.next_action(jobs_, 500), lease_action::none);
}

TEST_F(owner_lease_test, claims_at_once_after_its_own_node_restarted) {
    // All nodes are killed and restarted. If the former owner's node waited for
    // its own lease to expire, no node would own the jobs for a second.
    write_owner("n1", "before");
    EXPECT_EQ(next_action(), lease_action::claim);
}

TEST_F(owner_lease_test, claims_soon_after_a_handover) {
    write_owner("n2", "y", true);
    time_->advance(60);
    EXPECT_EQ(next_action(), lease_action::claim);
}

TEST_F(owner_lease_test, a_small_node_claims_later_than_a_larger_one) {
    // Guards against a node with an eighth of a core that takes over the jobs
    // of a large fleet: it can't keep up with the events at the start of a
    // step.
    const owner_lease small_node(clock_, base::node_id("n3"), "x", {}, 0.5,
                                 0.12);
    write_owner("n2", "y");
    time_->advance(1060);
    EXPECT_EQ(next_action(), lease_action::claim);
    EXPECT_EQ(small_node.next_action(jobs_, time_->now()), lease_action::none);
    time_->advance(500);
    EXPECT_EQ(small_node.next_action(jobs_, time_->now()), lease_action::claim);
}

TEST_F(owner_lease_test, does_not_claim_during_the_cooldown) {
    lease_.start_cooldown();
    time_->advance(5999);
    EXPECT_EQ(next_action(), lease_action::none);
    time_->advance(1);
    EXPECT_EQ(next_action(), lease_action::claim);
}

} // namespace

} // namespace hibiscus::batch
