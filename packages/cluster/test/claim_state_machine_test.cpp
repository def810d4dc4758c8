#include "hibiscus/cluster/claim_state_machine.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::request_id key("sync-1");

/// Writes records as the holders a and b would.
class claim_fold_test : public ::testing::Test {
protected:
    /// Applies a record of `node`; returns the keys it claimed.
    std::vector<base::request_id> apply(const std::string& node,
                                        std::uint64_t sequence, bool epoch,
                                        std::vector<wire::claim_item> items) {
        return fold_.apply(offset_++, {base::node_id(node), 1, sequence, epoch,
                                       std::move(items), std::nullopt});
    }

    /// Returns an item for `key` under `epoch`.
    static wire::claim_item item(wire::claim_kind kind,
                                 wire::log_offset epoch) {
        return {kind, key, epoch, 0, "done"};
    }

    claim_state_machine fold_;
    wire::log_offset offset_ = 0;
};

// A caller retries at another entry while its first try is being claimed, so
// two claims for one key reach the log. If both counted, a charge would be
// made twice.
TEST_F(claim_fold_test, only_the_first_claim_of_a_key_counts) {
    apply("a", 1, true, {});
    const auto first = apply("a", 2, false, {item(wire::claim_kind::claim, 0)});
    const auto second =
        apply("a", 3, false, {item(wire::claim_kind::claim, 0)});
    EXPECT_EQ(first.size(), 1U);
    EXPECT_EQ(second.size(), 0U);
}

// The old holder is paused between building its append and sending it. When it
// wakes, the shard has a new holder that has promised nothing is claimed.
TEST_F(claim_fold_test, a_claim_under_an_old_epoch_is_ignored) {
    apply("a", 1, true, {});
    apply("b", 1, true, {});
    const auto late = apply("a", 2, false, {item(wire::claim_kind::claim, 0)});
    EXPECT_EQ(late.size(), 0U);
}

// The holder lost the shard after it dispatched. Its answer is the truth, and
// without it the caller would read `unknown` for ever.
TEST_F(claim_fold_test, an_outcome_is_taken_after_the_epoch_moved) {
    apply("a", 1, true, {});
    apply("a", 2, false, {item(wire::claim_kind::claim, 0)});
    apply("b", 1, true, {});
    apply("a", 3, false, {item(wire::claim_kind::outcome, 0)});
    ASSERT_NE(fold_.find(key), nullptr);
    EXPECT_EQ(fold_.find(key)->body, std::optional<std::string>("done"));
}

// The answer to the append of a release is lost and the append is sent again.
// In between the key was claimed once more, and that request runs. The copy
// must not free the key for a third one.
TEST_F(claim_fold_test, a_copy_of_a_release_frees_nothing) {
    apply("a", 1, true, {});
    apply("a", 2, false, {item(wire::claim_kind::claim, 0)});
    apply("a", 3, false, {item(wire::claim_kind::release, 0)});
    apply("a", 4, false, {item(wire::claim_kind::claim, 0)});
    apply("a", 3, false, {item(wire::claim_kind::release, 0)});
    EXPECT_NE(fold_.find(key), nullptr);
}

// Retention drops the records of a claim that has run. A fresh home that took
// the key for free would run it again.
TEST_F(claim_fold_test, a_snapshot_stands_for_the_records_that_are_gone) {
    apply("a", 1, true, {});
    apply("a", 2, false, {item(wire::claim_kind::claim, 0)});
    apply("a", 3, false, {item(wire::claim_kind::outcome, 0)});
    const auto parts = fold_.make_snapshot(10);
    ASSERT_EQ(parts.size(), 1U);

    claim_state_machine fresh;
    fresh.handle_truncation(3, 6, 5000, {base::node_id("b"), 1, 0, 0});
    const wire::claim_item late{wire::claim_kind::claim,
                                base::request_id("late"), 0, 0, ""};
    fresh.apply(3, {base::node_id("a"), 1, 4, false, {late}, std::nullopt});
    fresh.apply(4, {base::node_id("a"), 1, 5, false, {}, parts[0]});
    ASSERT_NE(fresh.find(key), nullptr);
    EXPECT_TRUE(fresh.find(key)->body.has_value());
    EXPECT_NE(fresh.find(late.key), nullptr);
    ASSERT_NE(fresh.current_epoch(), nullptr);
    EXPECT_EQ(fresh.current_epoch()->number, 0);
    EXPECT_EQ(fresh.dropped_before(), 0);
}

// The log dropped records and holds no whole snapshot of them. Any request
// that was made before may have run, so the fold must not call its key free.
TEST_F(claim_fold_test, lost_records_without_a_snapshot_bar_older_requests) {
    claim_state_machine fresh;
    fresh.handle_truncation(3, 4, 5000, {base::node_id("b"), 1, 0, 0});
    EXPECT_EQ(fresh.dropped_before(), 0);
    fresh.apply(3, {base::node_id("b"), 1, 1, true, {}, std::nullopt});
    EXPECT_EQ(fresh.dropped_before(), 5000);
    ASSERT_NE(fresh.current_epoch(), nullptr);
    EXPECT_EQ(fresh.current_epoch()->number, 3);
}

// An append of an epoch record is sent twice and the first copy is dropped by
// retention unread. Those who read it drop the second; a node that went by it
// would hold the shard beside the true holder.
TEST_F(claim_fold_test, after_a_loss_a_copy_of_an_epoch_record_starts_none) {
    claim_state_machine fresh;
    fresh.handle_truncation(3, 4, 5000, {base::node_id("b"), 1, 7, 0});
    fresh.apply(3, {base::node_id("b"), 1, 7, true, {}, std::nullopt});
    EXPECT_EQ(fresh.current_epoch(), nullptr);
    fresh.apply(4, {base::node_id("a"), 1, 9, true, {}, std::nullopt});
    EXPECT_EQ(fresh.current_epoch(), nullptr);
    fresh.apply(5, {base::node_id("b"), 1, 8, true, {}, std::nullopt});
    ASSERT_NE(fresh.current_epoch(), nullptr);
    EXPECT_EQ(fresh.current_epoch()->number, 5);
}

} // namespace
} // namespace hibiscus::cluster
