#include "hibiscus/transport/event_stream.hpp"

#include <gtest/gtest.h>

namespace hibiscus::transport {

namespace {

const std::string stream =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight-versions: 3\nid: 3\n"
    "data: c\n\n";

TEST(event_assembler_test, returns_complete_events_for_any_split_of_the_bytes) {
    for (std::size_t split_size = 1; split_size < stream.size(); ++split_size) {
        event_assembler assembler;
        std::string forwarded;
        std::string last_event_id;
        for (std::size_t offset = 0; offset < stream.size();
             offset += split_size) {
            const auto events =
                assembler.feed(stream.substr(offset, split_size));
            forwarded += events.bytes;
            last_event_id = events.last_event_id.empty() ? last_event_id
                                                         : events.last_event_id;
        }
        EXPECT_EQ(forwarded, stream) << split_size;
        EXPECT_EQ(last_event_id, "3") << split_size;
    }
}

TEST(event_assembler_test, discards_the_partial_event_of_a_failed_server) {
    // A server crashes in the middle of an event, and another server resumes
    // the stream and sends this event again from its start. If the partial
    // event had been forwarded, the caller would read both joined into one.
    event_assembler assembler;
    const auto events = assembler.feed("id: 1\ndata: a\n\nid: 2\ndata: b");
    EXPECT_EQ(events.bytes, "id: 1\ndata: a\n\n");
    EXPECT_EQ(events.last_event_id, "1");
    assembler.discard_partial_event();
    EXPECT_EQ(assembler.feed("id: 2\ndata: bc\n\n").bytes,
              "id: 2\ndata: bc\n\n");
}

// Guards against an end of an event that is missed as it comes in two pieces.
TEST(event_assembler_test, finds_an_end_that_comes_in_pieces) {
    for (const std::string end : {"\n\n", "\n\r\n"}) {
        for (std::size_t cut = 1; cut < end.size(); ++cut) {
            event_assembler assembler;
            const auto begin = "data: " + std::string(100, 'x');
            EXPECT_EQ(assembler.feed(begin + end.substr(0, cut)).bytes, "");
            EXPECT_EQ(assembler.held_bytes(), begin.size() + cut);
            EXPECT_EQ(assembler.feed(end.substr(cut) + "d").bytes, begin + end);
            EXPECT_EQ(assembler.held_bytes(), 1U);
        }
    }
}

// Guards against an event whose fields take more than its bytes.
TEST(event_stream_parser_test, counts_what_an_incomplete_event_takes) {
    event_stream_parser parser;
    parser.feed("x\nx\nx\ndata: a");
    EXPECT_GT(parser.held_bytes(), 3 * sizeof(std::string));
    parser.feed("\n\nda");
    EXPECT_EQ(parser.held_bytes(), 2U);
}

} // namespace

} // namespace hibiscus::transport
