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

} // namespace

} // namespace hibiscus::transport
