#include "hibiscus/document/config_state_machine.hpp"

#include <gtest/gtest.h>

namespace hibiscus::document {
namespace {

constexpr const char* empty_document = "{}";

class config_state_machine_test : public ::testing::Test {
protected:
    /// Applies a publish at the next offset and returns its verdict.
    publish_verdict publish(const std::string& id, wire::log_offset base,
                            const std::string& text = empty_document) {
        state_machine_.apply(offset_++, {1, id, base, text, 0, 0});
        return state_machine_.verdict(id);
    }

    config_state_machine state_machine_;
    wire::log_offset offset_ = 0;
};

TEST_F(config_state_machine_test, accepts_a_publish_on_the_revision_in_force) {
    EXPECT_EQ(publish("a", 0), publish_verdict::accepted);
    ASSERT_NE(state_machine_.in_force(), nullptr);
    EXPECT_EQ(publish("b", state_machine_.in_force()->number),
              publish_verdict::accepted);
}

// Two operators publish at the same time, both based on the same revision.
// Without the check of the base, the second publish would silently undo the
// first.
TEST_F(config_state_machine_test,
       rejects_the_second_of_two_concurrent_publishes) {
    EXPECT_EQ(publish("a", 0), publish_verdict::accepted);
    EXPECT_EQ(publish("b", 0), publish_verdict::superseded);
}

// The response to an append is lost, so the operator's client appends the same
// publish again. Its verdict must still be that it was accepted.
TEST_F(config_state_machine_test, a_retried_append_keeps_the_first_verdict) {
    EXPECT_EQ(publish("a", 0), publish_verdict::accepted);
    EXPECT_EQ(publish("a", 0), publish_verdict::accepted);
    EXPECT_EQ(state_machine_.in_force()->number, 1);
}

TEST_F(config_state_machine_test, an_invalid_document_has_no_effect) {
    EXPECT_EQ(publish("a", 0, "{\"x\":1}"), publish_verdict::invalid);
    EXPECT_EQ(state_machine_.in_force(), nullptr);
}

// A node that was partitioned sends its old document to a peer. The peer must
// not go back to it.
TEST_F(config_state_machine_test, an_older_document_from_a_peer_has_no_effect) {
    publish("a", 0);
    publish("b", 1);
    EXPECT_FALSE(state_machine_.adopt_from_peer(1, empty_document));
    EXPECT_EQ(state_machine_.in_force()->number, 2);
}

// A new node adopts the document of a peer while it still reads the stream. If
// it evaluated earlier publishes against that newer document, it would report
// them as superseded, and an operator would publish an accepted change again.
TEST_F(config_state_machine_test, a_document_from_a_peer_changes_no_verdict) {
    EXPECT_TRUE(state_machine_.adopt_from_peer(2, empty_document));
    EXPECT_EQ(publish("a", 0), publish_verdict::accepted);
    EXPECT_EQ(state_machine_.in_force()->number, 2);
    EXPECT_EQ(publish("b", 1), publish_verdict::accepted);
    EXPECT_EQ(publish("c", 2), publish_verdict::accepted);
    EXPECT_EQ(state_machine_.in_force()->number, 3);
}

// The log drops old records while publishes continue. A node that starts then
// must reach the same verdicts as nodes that read all records, or their
// documents would diverge.
TEST_F(config_state_machine_test, a_new_node_resumes_from_a_snapshot) {
    publish("a", 0);
    publish("b", 1);
    const auto snapshot = state_machine_.make_snapshot();
    EXPECT_EQ(publish("c", 2), publish_verdict::accepted);
    EXPECT_EQ(publish("d", 2), publish_verdict::superseded);
    state_machine_.apply(offset_, snapshot);

    config_state_machine new_node;
    new_node.handle_truncation(2);
    new_node.apply(2, {1, "c", 2, empty_document, 0, 0});
    new_node.apply(3, {1, "d", 2, empty_document, 0, 0});
    EXPECT_FALSE(new_node.is_complete());
    EXPECT_EQ(new_node.verdict("c"), publish_verdict::unknown);
    new_node.apply(4, snapshot);
    ASSERT_TRUE(new_node.is_complete());
    EXPECT_EQ(new_node.in_force()->number, 3);
    EXPECT_EQ(new_node.verdict("b"), publish_verdict::accepted);
    EXPECT_EQ(new_node.verdict("c"), publish_verdict::accepted);
    EXPECT_EQ(new_node.verdict("d"), publish_verdict::superseded);
    EXPECT_EQ(new_node.snapshot_offset(), state_machine_.snapshot_offset());
}

// A snapshot does not cover all of the dropped records, and these may contain
// an accepted publish. Resuming from it could restore an older document.
TEST_F(config_state_machine_test,
       a_snapshot_that_does_not_cover_the_gap_is_ignored) {
    publish("a", 0);
    const auto snapshot = state_machine_.make_snapshot();
    config_state_machine new_node;
    new_node.handle_truncation(2);
    new_node.apply(2, snapshot);
    EXPECT_FALSE(new_node.is_complete());
    EXPECT_EQ(new_node.in_force(), nullptr);
}

// A node was paused until the log dropped records that it had not read. It
// keeps its document in force but must not evaluate publishes against it.
TEST_F(config_state_machine_test,
       a_node_that_missed_records_keeps_its_document) {
    publish("a", 0);
    state_machine_.handle_truncation(5);
    offset_ = 5;
    EXPECT_EQ(publish("late", 1), publish_verdict::unknown);
    ASSERT_NE(state_machine_.in_force(), nullptr);
    EXPECT_EQ(state_machine_.in_force()->number, 1);
    EXPECT_TRUE(state_machine_.adopt_from_peer(4, empty_document));
}

} // namespace
} // namespace hibiscus::document
