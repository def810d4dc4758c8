#include "hibiscus/transport/event_stream.hpp"

#include <gtest/gtest.h>

namespace hibiscus::transport {

namespace {

const std::string stream =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight-versions: 3\nid: 3\n"
    "data: c\n\n";

TEST(event_assembler_test, hands_on_whole_events_however_they_are_cut) {
    for (std::size_t size = 1; size < stream.size(); ++size) {
        event_assembler gate;
        std::string out;
        std::string last;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            const auto whole = gate.feed(stream.substr(at, size));
            out += whole.bytes;
            last = whole.last_event_id.empty() ? last : whole.last_event_id;
        }
        EXPECT_EQ(out, stream) << size;
        EXPECT_EQ(last, "3") << size;
    }
}

TEST(event_assembler_test,
     a_server_that_stops_within_an_event_leaves_nothing_of_it) {
    // A server crashes in the middle of an event and the stream goes on at
    // another, which sends that event anew. A caller that had got its first
    // half would read it joined to the whole one.
    event_assembler gate;
    const auto before = gate.feed("id: 1\ndata: a\n\nid: 2\ndata: b");
    EXPECT_EQ(before.bytes, "id: 1\ndata: a\n\n");
    EXPECT_EQ(before.last_event_id, "1");
    gate.discard_partial_event();
    EXPECT_EQ(gate.feed("id: 2\ndata: bc\n\n").bytes, "id: 2\ndata: bc\n\n");
}

} // namespace

} // namespace hibiscus::transport
