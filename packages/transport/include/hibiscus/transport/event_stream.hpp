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
    std::vector<std::pair<std::string, std::string>> other;
};

/// Splits the bytes of a stream into events. An event counts once the empty
/// line behind it has come; a stream that breaks off within an event leaves
/// nothing of it.
class event_stream_parser {
public:
    /// Takes the next bytes and returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);

private:
    void line(std::string_view text, std::vector<stream_event>& out);

    std::string rest_;
    stream_event event_;
    bool has_data_ = false;
};

} // namespace hibiscus::transport
