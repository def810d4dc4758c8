#include "hibiscus/wire/codec.hpp"

#include <gtest/gtest.h>

namespace hibiscus::wire {
namespace {

/// Returns the message that is read from `message` after it was written.
peer_message round_trip(const peer_message& message) {
    auto read = from_cbor(to_cbor(message));
    auto* value = base::value_if(read);
    EXPECT_NE(value, nullptr) << std::get<decode_error>(read).message;
    return value != nullptr ? *value : peer_message{};
}

TEST(codec_test, a_call_survives_cbor) {
    pull_step pull{base::trainer_id("t"), 7, {3, 9, {{0, 5}, {8, 8}}, 16, 50}};
    const auto read = round_trip(call{42, base::node_id("n"), 900, pull});
    const auto* c = std::get_if<call>(&read);
    ASSERT_NE(c, nullptr) << "alternative " << read.index();
    EXPECT_EQ(c->id, 42U);
    const auto* p = std::get_if<pull_step>(&c->body);
    ASSERT_NE(p, nullptr) << "alternative " << c->body.index();
    ASSERT_EQ(p->request.received.size(), 2U);
    EXPECT_EQ(p->request.received[0].last, 5U);
}

TEST(codec_test, a_report_keeps_its_versions) {
    stream_report s;
    s.chunks = {{0, 4, "a"}, {1, 5, "b"}};
    s.oldest = 4;
    const auto read = round_trip(sample_report{base::node_id("n"), {s}});
    const auto* r = std::get_if<sample_report>(&read);
    ASSERT_NE(r, nullptr) << "alternative " << read.index();
    ASSERT_EQ(r->streams.at(0).chunks.size(), 2U);
    EXPECT_EQ(r->streams[0].chunks[1].version, 5);
    EXPECT_EQ(r->streams[0].oldest, std::optional<weight_version>(4));
}

TEST(codec_test, refuses_another_protocol_version) {
    auto bytes = to_cbor(document_request{base::node_id("n"), 1});
    const auto at = bytes.find(std::string("\x61") + "v");
    ASSERT_NE(at, std::string::npos);
    bytes[at + 2] = 2;
    EXPECT_EQ(base::value_if(from_cbor(bytes)), nullptr);
}

TEST(codec_test, refuses_json_that_lacks_a_key) {
    const auto read = from_json<service_request>(R"({"id":"a"})");
    EXPECT_EQ(base::value_if(read), nullptr);
}

// A peer, or a stranger on the peer port, sends arrays nested a hundred
// thousand levels deep. A decoder that recurses without a bound ends the
// process by exhausting its stack.
TEST(codec_test, refuses_deep_nesting_without_exhausting_the_stack) {
    const std::string cbor(100000, '\x81');
    EXPECT_EQ(base::value_if(from_cbor(cbor)), nullptr);
    const std::string text(100000, '[');
    EXPECT_EQ(base::value_if(from_json<service_request>(text)), nullptr);
}

} // namespace
} // namespace hibiscus::wire
