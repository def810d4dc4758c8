#include "hibiscus/document/config_state_machine.hpp"

#include <gtest/gtest.h>

namespace hibiscus::document {
namespace {

constexpr const char* empty_document = "{}";

class config_fold_test : public ::testing::Test {
protected:
    /// Applies a publish at the next offset and returns its verdict.
    publish_verdict publish(const std::string& id, wire::log_offset base,
                            const std::string& text = empty_document) {
        fold_.apply(offset_++, {1, id, base, text, 0, 0});
        return fold_.verdict(id);
    }

    config_state_machine fold_;
    wire::log_offset offset_ = 0;
};

TEST_F(config_fold_test, accepts_a_publish_on_the_revision_in_force) {
    EXPECT_EQ(publish("a", 0), publish_verdict::accepted);
    ASSERT_NE(fold_.in_force(), nullptr);
    EXPECT_EQ(publish("b", fold_.in_force()->number),
              publish_verdict::accepted);
}

// Two operators publish at the same moment, both on the revision that they
// see. Without the base the second would undo the first unseen.
TEST_F(config_fold_test, refuses_the_second_of_two_racing_publishes) {
    EXPECT_EQ(publish("a", 0), publish_verdict::accepted);
    EXPECT_EQ(publish("b", 0), publish_verdict::superseded);
}

// The answer to an append is lost, so the operator's client appends the same
// publish again. The operator must read that it was accepted.
TEST_F(config_fold_test, a_repeated_append_keeps_the_first_verdict) {
    EXPECT_EQ(publish("a", 0), publish_verdict::accepted);
    EXPECT_EQ(publish("a", 0), publish_verdict::accepted);
    EXPECT_EQ(fold_.in_force()->number, 1);
}

TEST_F(config_fold_test, an_invalid_document_changes_nothing) {
    EXPECT_EQ(publish("a", 0, "{\"x\":1}"), publish_verdict::invalid);
    EXPECT_EQ(fold_.in_force(), nullptr);
}

// A node was cut off while others went on, and hands its old document to a
// peer. The peer must not step back.
TEST_F(config_fold_test, an_older_document_from_a_peer_changes_nothing) {
    publish("a", 0);
    publish("b", 1);
    EXPECT_FALSE(fold_.adopt_from_peer(1, empty_document));
    EXPECT_EQ(fold_.in_force()->number, 2);
}

// A fresh node gets the document from a peer while it still reads the stream.
// Judged against the newer document, the publishes of before would all be
// shown as superseded, and an operator would publish an accepted change again.
TEST_F(config_fold_test, a_document_from_a_peer_changes_no_verdict) {
    EXPECT_TRUE(fold_.adopt_from_peer(2, empty_document));
    EXPECT_EQ(publish("a", 0), publish_verdict::accepted);
    EXPECT_EQ(fold_.in_force()->number, 2);
    EXPECT_EQ(publish("b", 1), publish_verdict::accepted);
    EXPECT_EQ(publish("c", 2), publish_verdict::accepted);
    EXPECT_EQ(fold_.in_force()->number, 3);
}

// The log drops old records while publishes go on. A node that starts then
// must judge like those that read all, or it would keep another document.
TEST_F(config_fold_test, a_fresh_node_resumes_from_a_repeated_record) {
    publish("a", 0);
    publish("b", 1);
    const auto repeat = fold_.make_snapshot();
    EXPECT_EQ(publish("c", 2), publish_verdict::accepted);
    EXPECT_EQ(publish("d", 2), publish_verdict::superseded);
    fold_.apply(offset_, repeat);

    config_state_machine fresh;
    fresh.handle_truncation(2);
    fresh.apply(2, {1, "c", 2, empty_document, 0, 0});
    fresh.apply(3, {1, "d", 2, empty_document, 0, 0});
    EXPECT_FALSE(fresh.is_complete());
    EXPECT_EQ(fresh.verdict("c"), publish_verdict::unknown);
    fresh.apply(4, repeat);
    ASSERT_TRUE(fresh.is_complete());
    EXPECT_EQ(fresh.in_force()->number, 3);
    EXPECT_EQ(fresh.verdict("b"), publish_verdict::accepted);
    EXPECT_EQ(fresh.verdict("c"), publish_verdict::accepted);
    EXPECT_EQ(fresh.verdict("d"), publish_verdict::superseded);
    EXPECT_EQ(fresh.snapshot_offset(), fold_.snapshot_offset());
}

// The repeated record was made before records that are gone: a publish that
// was accepted may be among them. Going by it would be a step back.
TEST_F(config_fold_test, a_repeat_that_covers_too_little_is_not_enough) {
    publish("a", 0);
    const auto repeat = fold_.make_snapshot();
    config_state_machine fresh;
    fresh.handle_truncation(2);
    fresh.apply(2, repeat);
    EXPECT_FALSE(fresh.is_complete());
    EXPECT_EQ(fresh.in_force(), nullptr);
}

// A node was paused so long that the log dropped what it had not read. It goes
// on with the document that it has, and does not judge by it.
TEST_F(config_fold_test, a_node_that_missed_records_keeps_its_document) {
    publish("a", 0);
    fold_.handle_truncation(5);
    offset_ = 5;
    EXPECT_EQ(publish("late", 1), publish_verdict::unknown);
    ASSERT_NE(fold_.in_force(), nullptr);
    EXPECT_EQ(fold_.in_force()->number, 1);
    EXPECT_TRUE(fold_.adopt_from_peer(4, empty_document));
}

} // namespace
} // namespace hibiscus::document
