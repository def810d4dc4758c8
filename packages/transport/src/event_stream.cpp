#include "hibiscus/transport/event_stream.hpp"

#include <algorithm>

namespace hibiscus::transport {

std::vector<stream_event> event_stream_parser::feed(std::string_view bytes) {
    std::vector<stream_event> out;
    rest_.append(bytes);
    std::size_t begin = 0;
    for (;;) {
        const auto end = rest_.find('\n', begin);
        if (end == std::string::npos) {
            break;
        }
        auto text = std::string_view(rest_).substr(begin, end - begin);
        if (!text.empty() && text.back() == '\r') {
            text.remove_suffix(1);
        }
        line(text, out);
        begin = end + 1;
    }
    rest_.erase(0, begin);
    return out;
}

void event_stream_parser::line(std::string_view text,
                               std::vector<stream_event>& out) {
    if (text.empty()) {
        if (has_data_ || !event_.id.empty()) {
            out.push_back(std::move(event_));
        }
        event_ = {};
        has_data_ = false;
        return;
    }
    const auto colon = text.find(':');
    if (colon == 0) {
        return;
    }
    const auto name = text.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view()
                                                 : text.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (name == "data") {
        if (has_data_) {
            event_.data += '\n';
        }
        event_.data += value;
        has_data_ = true;
    } else if (name == "id") {
        event_.id = std::string(value);
    } else {
        event_.other.emplace_back(name, value);
    }
}

whole_events event_gate::feed(std::string_view bytes) {
    rest_.append(bytes);
    // An event ends with an empty line, whichever ends of lines are used.
    std::size_t end = 0;
    for (const std::string_view mark : {"\n\n", "\n\r\n"}) {
        const auto at = rest_.rfind(mark);
        if (at != std::string::npos) {
            end = std::max(end, at + mark.size());
        }
    }
    whole_events out;
    out.bytes = rest_.substr(0, end);
    rest_.erase(0, end);
    event_stream_parser parser;
    for (auto& e : parser.feed(out.bytes)) {
        if (!e.id.empty()) {
            out.last_id = std::move(e.id);
        }
    }
    return out;
}

void event_gate::reset() {
    rest_.clear();
}

} // namespace hibiscus::transport
