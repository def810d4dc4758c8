#include "hibiscus/cluster/stream_id.hpp"

#include <charconv>

namespace hibiscus::cluster {

namespace {

/// Parses the number after the last '/' of `text` and removes it from `text`.
/// Returns false if there is none.
template <class T>
bool consume_number(std::string_view& text, T& number) {
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos) {
        return false;
    }
    const auto digits = text.substr(slash + 1);
    text = text.substr(0, slash);
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

} // namespace

base::stream_id make_stream_id(const base::trainer_id& trainer,
                               wire::step_number step, wire::slot_index slot,
                               std::uint32_t attempt) {
    return base::stream_id(trainer.str() + "/" + std::to_string(step) + "/" +
                           std::to_string(slot) + "/" +
                           std::to_string(attempt));
}

std::optional<stream_id_parts> parse_stream_id(const base::stream_id& id) {
    stream_id_parts parts;
    std::string_view text = id.str();
    if (!consume_number(text, parts.attempt) ||
        !consume_number(text, parts.slot) ||
        !consume_number(text, parts.step)) {
        return std::nullopt;
    }
    parts.trainer = base::trainer_id(std::string(text));
    return parts;
}

} // namespace hibiscus::cluster
