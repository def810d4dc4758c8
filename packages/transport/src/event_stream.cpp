#include "hibiscus/transport/event_stream.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace hibiscus::transport {

namespace {

/// An event ends with an empty line. Lines may end with LF or CRLF.
constexpr std::array<std::string_view, 2> event_terminators{"\n\n", "\n\r\n"};
constexpr std::size_t max_terminator_bytes = 3;

} // namespace

std::vector<stream_event> event_stream_parser::feed(std::string_view bytes) {
    std::vector<stream_event> events;
    // What is left of earlier bytes has no line end.
    auto search_from = partial_line_.size();
    partial_line_.append(bytes);
    std::size_t begin = 0;
    for (;;) {
        const auto end = partial_line_.find('\n', search_from);
        if (end == std::string::npos) {
            break;
        }
        auto line = std::string_view(partial_line_).substr(begin, end - begin);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        parse_line(line, events);
        begin = end + 1;
        search_from = begin;
    }
    partial_line_.erase(0, begin);
    return events;
}

void event_stream_parser::parse_line(std::string_view line,
                                     std::vector<stream_event>& events) {
    if (line.empty()) {
        if (has_data_ || !current_event_.id.empty()) {
            events.push_back(std::move(current_event_));
        }
        current_event_ = {};
        event_bytes_ = 0;
        has_data_ = false;
        return;
    }
    const auto colon = line.find(':');
    if (colon == 0) {
        return;
    }
    event_bytes_ += line.size();
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view()
                                                 : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (name == "data") {
        if (has_data_) {
            current_event_.data += '\n';
        }
        current_event_.data += value;
        has_data_ = true;
    } else if (name == "id") {
        current_event_.id = std::string(value);
    } else {
        current_event_.other_fields.emplace_back(name, value);
        event_bytes_ += sizeof current_event_.other_fields.back();
    }
}

complete_events event_assembler::feed(std::string_view bytes) {
    // What is left of earlier bytes has no end of an event, but may have a part
    // of one.
    const auto search_from =
        partial_event_.size() -
        std::min(partial_event_.size(), max_terminator_bytes - 1);
    partial_event_.append(bytes);
    const auto tail = std::string_view(partial_event_).substr(search_from);
    std::size_t end = 0;
    for (const auto terminator : event_terminators) {
        const auto position = tail.rfind(terminator);
        if (position != std::string_view::npos) {
            end = std::max(end, search_from + position + terminator.size());
        }
    }
    complete_events result;
    result.bytes = partial_event_.substr(0, end);
    partial_event_.erase(0, end);
    event_stream_parser parser;
    for (auto& event : parser.feed(result.bytes)) {
        if (!event.id.empty()) {
            result.last_event_id = std::move(event.id);
        }
    }
    return result;
}

void event_assembler::discard_partial_event() {
    // clear() would keep the memory.
    static_cast<void>(std::exchange(partial_event_, {}));
}

} // namespace hibiscus::transport
