#include "hibiscus/store/pieces.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace hibiscus::store {

namespace {

/// Stands between the key of a value and the number of a piece. No key holds
/// it, and it sorts before all that keys do hold.
constexpr char piece_mark = '\x01';

/// The digits of a piece's number and of their count; with fixed widths, keys
/// sort as the pieces follow. A record of 4 KB and four digits allow 30 MB.
constexpr std::size_t digits = 4;

/// The bytes of a record besides its value: the longest key and the framing.
constexpr std::size_t record_overhead = 512;

/// The least room for a value that limits leave, in bytes.
constexpr std::size_t least_room = 256;

std::size_t room_of(const append_limits& limits) {
    const auto most = std::min(limits.record, limits.call);
    return most > record_overhead + least_room ? most - record_overhead
                                               : least_room;
}

/// A piece as its key tells it.
struct piece {
    std::string key;
    std::size_t number = 0;
    std::size_t count = 0;
};

std::optional<std::size_t> parse_number(const std::string& text,
                                        std::size_t at) {
    std::size_t value = 0;
    const auto* begin = text.data() + at;
    const auto read = std::from_chars(begin, begin + digits, value);
    if (read.ec != std::errc() || read.ptr != begin + digits) {
        return std::nullopt;
    }
    return value;
}

std::optional<piece> piece_of(const std::string& key) {
    const auto mark = key.rfind(piece_mark);
    if (mark == std::string::npos || key.size() != mark + 1 + 2 * digits) {
        return std::nullopt;
    }
    const auto number = parse_number(key, mark + 1);
    const auto count = parse_number(key, mark + 1 + digits);
    if (!number || !count || *number >= *count) {
        return std::nullopt;
    }
    return piece{key.substr(0, mark), *number, *count};
}

std::string padded(std::size_t number) {
    const auto text = std::to_string(number);
    return std::string(digits - std::min(digits, text.size()), '0') + text;
}

std::string piece_key(const piece& p) {
    return p.key + piece_mark + padded(p.number) + padded(p.count);
}

/// Adds the pieces of a value, or the record itself if it fits.
void cut(record r, std::size_t room, std::vector<record>& out) {
    if (r.value.size() <= room) {
        out.push_back(std::move(r));
        return;
    }
    const auto count = (r.value.size() + room - 1) / room;
    for (std::size_t n = 0; n < count; ++n) {
        out.push_back(
            {piece_key({r.key, n, count}), r.value.substr(n * room, room)});
    }
}

} // namespace

std::vector<std::vector<record>> to_appends(std::vector<record> records,
                                            const append_limits& limits) {
    const auto room = room_of(limits);
    std::vector<record> cut_up;
    for (auto& r : records) {
        cut(std::move(r), room, cut_up);
    }
    std::vector<std::vector<record>> out;
    std::size_t bytes = 0;
    for (auto& r : cut_up) {
        const auto size = r.value.size() + record_overhead;
        if (out.empty() || bytes + size > limits.call) {
            out.emplace_back();
            bytes = 0;
        }
        bytes += size;
        out.back().push_back(std::move(r));
    }
    return out;
}

bool ends_value(const record& r) {
    const auto p = piece_of(r.key);
    return !p || p->number + 1 == p->count;
}

std::vector<record> join_pieces(std::vector<record> records) {
    std::vector<record> out;
    record joined;
    std::size_t next = 0;
    for (auto& r : records) {
        const auto p = piece_of(r.key);
        if (!p) {
            out.push_back(std::move(r));
            continue;
        }
        if (p->number == 0) {
            joined = {p->key, ""};
            next = 0;
        }
        if (p->key != joined.key || p->number != next) {
            continue;
        }
        joined.value += r.value;
        ++next;
        if (next == p->count) {
            out.push_back(std::exchange(joined, {}));
        }
    }
    return out;
}

} // namespace hibiscus::store
