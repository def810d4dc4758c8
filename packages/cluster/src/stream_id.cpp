#include "hibiscus/cluster/stream_id.hpp"

#include <charconv>

namespace hibiscus::cluster {

namespace {

/// Reads the number after the last '/' of `text` and cuts it off. Returns
/// false if there is none.
template <class T>
bool consume_number(std::string_view& text, T& number) {
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos) {
        return false;
    }
    const auto digits = text.substr(slash + 1);
    text = text.substr(0, slash);
    const char* last = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), last, number);
    return parsed.ec == std::errc() && parsed.ptr == last;
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
    stream_id_parts name;
    std::string_view text = id.str();
    if (!consume_number(text, name.attempt) ||
        !consume_number(text, name.slot) || !consume_number(text, name.step)) {
        return std::nullopt;
    }
    name.trainer = base::trainer_id(std::string(text));
    return name;
}

} // namespace hibiscus::cluster
