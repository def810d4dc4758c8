#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hibiscus::transport {

/// One event of a `text/event-stream` body.
struct stream_event {
    /// The value of the `id` field, or empty if the event has none.
    std::string id;
    /// The values of the `data` fields, joined by line feeds.
    std::string data;
    /// All other fields, in the order received.
    std::vector<std::pair<std::string, std::string>> other_fields;
};

/// Parses a `text/event-stream` incrementally. An event is complete once the
/// empty line after it has arrived. If the stream ends within an event, that
/// event is not returned.
class event_stream_parser {
public:
    /// Parses the next bytes and returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);

    /// Returns about how many bytes the incomplete event takes.
    std::size_t held_bytes() const {
        return partial_line_.size() + event_bytes_;
    }

private:
    void parse_line(std::string_view line, std::vector<stream_event>& events);

    std::string partial_line_;
    stream_event current_event_;
    /// What the complete lines of the current event take.
    std::size_t event_bytes_ = 0;
    bool has_data_ = false;
};

/// Complete events, unparsed.
struct complete_events {
    /// The bytes of the events as received, ready to be forwarded.
    std::string bytes;
    /// The id of the last event that has an id, or empty if none has.
    std::string last_event_id;
};

/// Buffers a `text/event-stream` so that only complete events are forwarded. If
/// a server fails in the middle of an event, the server that resumes the stream
/// sends this event again from its start, so the partial event must not have
/// been forwarded.
class event_assembler {
public:
    /// Buffers the next bytes and returns the events that they complete.
    complete_events feed(std::string_view bytes);

    /// Returns how many bytes the incomplete event has.
    std::size_t held_bytes() const { return partial_event_.size(); }

    /// Drops the bytes of the incomplete event, if any.
    void discard_partial_event();

private:
    std::string partial_event_;
};

} // namespace hibiscus::transport
