#include "hibiscus/cluster/claim_state_machine.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::request_id key("sync-1");

/// Applies records as the holders a and b would write them.
class claim_state_machine_test : public ::testing::Test {
protected:
    /// Applies a record of `node` and returns the keys that it claimed.
    std::vector<base::request_id> apply(const std::string& node,
                                        std::uint64_t sequence, bool epoch,
                                        std::vector<wire::claim_item> items) {
        return state_machine_.apply(offset_++,
                                    {base::node_id(node), 1, sequence, epoch,
                                     std::move(items), std::nullopt});
    }

    static wire::claim_item item(wire::claim_kind kind,
                                 wire::log_offset epoch) {
        return {kind, key, epoch, 0, "done"};
    }

    claim_state_machine state_machine_;
    wire::log_offset offset_ = 0;
};

// A caller retries at another entry node while its first attempt is being
// claimed, so the log contains two claims for one key. If both were valid, a
// charge would be made twice.
TEST_F(claim_state_machine_test, only_the_first_claim_of_a_key_counts) {
    apply("a", 1, true, {});
    const auto first = apply("a", 2, false, {item(wire::claim_kind::claim, 0)});
    const auto second =
        apply("a", 3, false, {item(wire::claim_kind::claim, 0)});
    EXPECT_EQ(first.size(), 1U);
    EXPECT_EQ(second.size(), 0U);
}

// The old holder is paused between building its append and sending it. When it
// resumes, the shard has a new holder, which may have responded that the key is
// not claimed.
TEST_F(claim_state_machine_test, a_claim_under_an_old_epoch_is_ignored) {
    apply("a", 1, true, {});
    apply("b", 1, true, {});
    const auto late = apply("a", 2, false, {item(wire::claim_kind::claim, 0)});
    EXPECT_EQ(late.size(), 0U);
}

// The holder lost the shard after it dispatched the request. Without its
// outcome, callers would receive `unknown` forever.
TEST_F(claim_state_machine_test, an_outcome_is_applied_after_an_epoch_change) {
    apply("a", 1, true, {});
    apply("a", 2, false, {item(wire::claim_kind::claim, 0)});
    apply("b", 1, true, {});
    apply("a", 3, false, {item(wire::claim_kind::outcome, 0)});
    ASSERT_NE(state_machine_.find(key), nullptr);
    EXPECT_EQ(state_machine_.find(key)->body,
              std::optional<std::string>("done"));
}

// The response to the append of a release is lost and the append is sent again.
// In the meantime the key was claimed again, and that request runs. The
// duplicate must not free the key for a third request.
TEST_F(claim_state_machine_test, a_duplicate_release_does_not_free_the_key) {
    apply("a", 1, true, {});
    apply("a", 2, false, {item(wire::claim_kind::claim, 0)});
    apply("a", 3, false, {item(wire::claim_kind::release, 0)});
    apply("a", 4, false, {item(wire::claim_kind::claim, 0)});
    apply("a", 3, false, {item(wire::claim_kind::release, 0)});
    EXPECT_NE(state_machine_.find(key), nullptr);
}

// Retention drops the records of a claim whose request has run. A new home node
// that treated the key as free would run the request again.
TEST_F(claim_state_machine_test, a_snapshot_replaces_dropped_records) {
    apply("a", 1, true, {});
    apply("a", 2, false, {item(wire::claim_kind::claim, 0)});
    apply("a", 3, false, {item(wire::claim_kind::outcome, 0)});
    const auto parts = state_machine_.make_snapshot(10);
    ASSERT_EQ(parts.size(), 1U);

    claim_state_machine restored;
    restored.handle_truncation(3, 6, 5000, {base::node_id("b"), 1, 0, 0});
    const wire::claim_item late{wire::claim_kind::claim,
                                base::request_id("late"), 0, 0, ""};
    restored.apply(3, {base::node_id("a"), 1, 4, false, {late}, std::nullopt});
    restored.apply(4, {base::node_id("a"), 1, 5, false, {}, parts[0]});
    ASSERT_NE(restored.find(key), nullptr);
    EXPECT_TRUE(restored.find(key)->body.has_value());
    EXPECT_NE(restored.find(late.key), nullptr);
    ASSERT_NE(restored.current_epoch(), nullptr);
    EXPECT_EQ(restored.current_epoch()->number, 0);
    EXPECT_EQ(restored.claims_dropped_before_ms(), 0);
}

// The log dropped records and has no complete snapshot of them. Any request
// created earlier may have run, so its key must not be treated as free.
TEST_F(claim_state_machine_test,
       lost_records_without_a_snapshot_reject_older_requests) {
    claim_state_machine restored;
    restored.handle_truncation(3, 4, 5000, {base::node_id("b"), 1, 0, 0});
    EXPECT_EQ(restored.claims_dropped_before_ms(), 0);
    restored.apply(3, {base::node_id("b"), 1, 1, true, {}, std::nullopt});
    EXPECT_EQ(restored.claims_dropped_before_ms(), 5000);
    ASSERT_NE(restored.current_epoch(), nullptr);
    EXPECT_EQ(restored.current_epoch()->number, 3);
}

// The append of an epoch record is sent twice, and retention drops the first
// copy before it is read. Nodes that read the first copy ignore the second; a
// node that accepted it would hold the shard at the same time as the actual
// holder.
TEST_F(claim_state_machine_test,
       after_a_loss_a_duplicate_epoch_record_starts_no_epoch) {
    claim_state_machine restored;
    restored.handle_truncation(3, 4, 5000, {base::node_id("b"), 1, 7, 0});
    restored.apply(3, {base::node_id("b"), 1, 7, true, {}, std::nullopt});
    EXPECT_EQ(restored.current_epoch(), nullptr);
    restored.apply(4, {base::node_id("a"), 1, 9, true, {}, std::nullopt});
    EXPECT_EQ(restored.current_epoch(), nullptr);
    restored.apply(5, {base::node_id("b"), 1, 8, true, {}, std::nullopt});
    ASSERT_NE(restored.current_epoch(), nullptr);
    EXPECT_EQ(restored.current_epoch()->number, 5);
}

} // namespace
} // namespace hibiscus::cluster
