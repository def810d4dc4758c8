#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hibiscus::transport {

/// One event of a `text/event-stream` body.
struct stream_event {
    /// The value of its `id` field, empty if it has none.
    std::string id;
    /// Its `data` lines, joined by line feeds.
    std::string data;
    /// Fields other than `id` and `data`, in their order.
    std::vector<std::pair<std::string, std::string>> other_fields;
};

/// Splits the bytes of a stream into events. An event counts once the empty
/// line behind it has come; a stream that breaks off within an event leaves
/// nothing of it.
class event_stream_parser {
public:
    /// Takes the next bytes and returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);

private:
    void parse_line(std::string_view text, std::vector<stream_event>& out);

    std::string partial_line_;
    stream_event current_event_;
    bool has_data_ = false;
};

/// The whole events in a piece of a stream.
struct complete_events {
    /// Their bytes as they came, to be handed on.
    std::string bytes;
    /// The id of the last one that has one; empty if none has.
    std::string last_event_id;
};

/// Hands on a stream event by event. A stream that goes on at another server
/// begins with a whole event; what the first server had sent of that event
/// must not have been handed on before.
class event_assembler {
public:
    /// Takes the next bytes and returns the events that they complete.
    complete_events feed(std::string_view bytes);

    /// Drops what has come of an event that is not complete.
    void discard_partial_event();

private:
    std::string partial_event_;
};

} // namespace hibiscus::transport
