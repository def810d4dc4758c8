#include "hibiscus/document/config_fold.hpp"

#include <gtest/gtest.h>

namespace hibiscus::document {
namespace {

constexpr const char* empty_document = "{}";

class config_fold_test : public ::testing::Test {
protected:
    /// Applies a publish at the next offset and returns its verdict.
    publish_verdict publish(const std::string& id, wire::log_offset base,
                            const std::string& text = empty_document) {
        fold_.apply(offset_++, {1, id, base, text, 0});
        return fold_.verdict(id);
    }

    config_fold fold_;
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
    EXPECT_FALSE(fold_.adopt(1, empty_document));
    EXPECT_EQ(fold_.in_force()->number, 2);
}

} // namespace
} // namespace hibiscus::document
