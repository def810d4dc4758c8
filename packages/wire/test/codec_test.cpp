#include "hibiscus/wire/codec.hpp"

#include <gtest/gtest.h>

namespace hibiscus::wire {
namespace {

/// Returns `message` after encoding and decoding it as CBOR.
peer_message round_trip(const peer_message& message) {
    auto decoded = from_cbor(to_cbor(message));
    auto* value = base::value_if(decoded);
    EXPECT_NE(value, nullptr) << std::get<decode_error>(decoded).message;
    return value != nullptr ? *value : peer_message{};
}

TEST(codec_test, a_call_survives_a_cbor_round_trip) {
    pull_step pull{base::trainer_id("t"), 7, {3, 9, {{0, 5}, {8, 8}}, 16, 50}};
    const auto decoded = round_trip(call{42, base::node_id("n"), 900, pull});
    const auto* decoded_call = std::get_if<call>(&decoded);
    ASSERT_NE(decoded_call, nullptr) << "alternative " << decoded.index();
    EXPECT_EQ(decoded_call->id, 42U);
    const auto* decoded_pull = std::get_if<pull_step>(&decoded_call->body);
    ASSERT_NE(decoded_pull, nullptr)
        << "alternative " << decoded_call->body.index();
    ASSERT_EQ(decoded_pull->request.received.size(), 2U);
    EXPECT_EQ(decoded_pull->request.received[0].last, 5U);
}

TEST(codec_test, a_report_keeps_its_versions_in_a_cbor_round_trip) {
    stream_report stream;
    stream.chunks = {{0, 4, "a"}, {1, 5, "b"}};
    stream.oldest = 4;
    const auto decoded =
        round_trip(sample_report{base::node_id("n"), {stream}});
    const auto* report = std::get_if<sample_report>(&decoded);
    ASSERT_NE(report, nullptr) << "alternative " << decoded.index();
    ASSERT_EQ(report->streams.at(0).chunks.size(), 2U);
    EXPECT_EQ(report->streams[0].chunks[1].version, 5);
    EXPECT_EQ(report->streams[0].oldest, std::optional<weight_version>(4));
}

TEST(codec_test, rejects_another_protocol_version) {
    auto bytes = to_cbor(document_request{base::node_id("n"), 1});
    const auto version_key = bytes.find(std::string("\x61") + "v");
    ASSERT_NE(version_key, std::string::npos);
    bytes[version_key + 2] = 2;
    EXPECT_EQ(base::value_if(from_cbor(bytes)), nullptr);
}

TEST(codec_test, rejects_json_without_a_required_key) {
    const auto decoded = from_json<service_request>(R"({"id":"a"})");
    EXPECT_EQ(base::value_if(decoded), nullptr);
}

// A peer, or an unknown sender on the peer port, sends arrays nested 100,000
// levels deep. A decoder with unbounded recursion would exhaust the stack and
// crash the process.
TEST(codec_test, rejects_deep_nesting_without_exhausting_the_stack) {
    const std::string cbor(100000, '\x81');
    EXPECT_EQ(base::value_if(from_cbor(cbor)), nullptr);
    const std::string text(100000, '[');
    EXPECT_EQ(base::value_if(from_json<service_request>(text)), nullptr);
}

} // namespace
} // namespace hibiscus::wire
