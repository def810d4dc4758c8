#include "hibiscus/store/value_chunks.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace hibiscus::store {

namespace {

/// Stands between the key of a value and the number of a piece. No key holds
/// it, and it sorts before all that keys do hold.
constexpr char chunk_separator = '\x01';

/// The digits of a piece's number and of their count; with fixed widths, keys
/// sort as the pieces follow. A record of 4 KB and four digits allow 30 MB.
constexpr std::size_t number_digits = 4;

/// The bytes of a record besides its value: the longest key and the framing.
constexpr std::size_t record_overhead_bytes = 512;

/// The least room for a value that limits leave, in bytes.
constexpr std::size_t min_value_bytes = 256;

std::size_t value_capacity(const append_limits& limits) {
    const auto most =
        std::min(limits.max_record_bytes, limits.max_append_bytes);
    return most > record_overhead_bytes + min_value_bytes
               ? most - record_overhead_bytes
               : min_value_bytes;
}

/// A piece as its key tells it.
struct chunk_id {
    std::string value_key;
    std::size_t number = 0;
    std::size_t count = 0;
};

std::optional<std::size_t> parse_number(const std::string& text,
                                        std::size_t at) {
    std::size_t value = 0;
    const auto* begin = text.data() + at;
    const auto read = std::from_chars(begin, begin + number_digits, value);
    if (read.ec != std::errc() || read.ptr != begin + number_digits) {
        return std::nullopt;
    }
    return value;
}

std::optional<chunk_id> parse_chunk_key(const std::string& key) {
    const auto mark = key.rfind(chunk_separator);
    if (mark == std::string::npos ||
        key.size() != mark + 1 + 2 * number_digits) {
        return std::nullopt;
    }
    const auto number = parse_number(key, mark + 1);
    const auto count = parse_number(key, mark + 1 + number_digits);
    if (!number || !count || *number >= *count) {
        return std::nullopt;
    }
    return chunk_id{key.substr(0, mark), *number, *count};
}

std::string zero_pad(std::size_t number) {
    const auto text = std::to_string(number);
    return std::string(number_digits - std::min(number_digits, text.size()),
                       '0') +
           text;
}

std::string make_chunk_key(const chunk_id& p) {
    return p.value_key + chunk_separator + zero_pad(p.number) +
           zero_pad(p.count);
}

/// Adds the pieces of a value, or the record itself if it fits.
void append_chunks(record r, std::size_t room, std::vector<record>& out) {
    if (r.value.size() <= room) {
        out.push_back(std::move(r));
        return;
    }
    const auto count = (r.value.size() + room - 1) / room;
    for (std::size_t n = 0; n < count; ++n) {
        out.push_back({make_chunk_key({r.key, n, count}),
                       r.value.substr(n * room, room)});
    }
}

} // namespace

std::vector<std::vector<record>>
split_into_appends(std::vector<record> records, const append_limits& limits) {
    const auto room = value_capacity(limits);
    std::vector<record> cut_up;
    for (auto& r : records) {
        append_chunks(std::move(r), room, cut_up);
    }
    std::vector<std::vector<record>> out;
    std::size_t bytes = 0;
    for (auto& r : cut_up) {
        const auto size = r.value.size() + record_overhead_bytes;
        if (out.empty() || bytes + size > limits.max_append_bytes) {
            out.emplace_back();
            bytes = 0;
        }
        bytes += size;
        out.back().push_back(std::move(r));
    }
    return out;
}

bool completes_value(const record& r) {
    const auto p = parse_chunk_key(r.key);
    return !p || p->number + 1 == p->count;
}

std::vector<record> join_chunks(std::vector<record> records) {
    std::vector<record> out;
    record joined;
    std::size_t next = 0;
    for (auto& r : records) {
        const auto p = parse_chunk_key(r.key);
        if (!p) {
            out.push_back(std::move(r));
            continue;
        }
        if (p->number == 0) {
            joined = {p->value_key, ""};
            next = 0;
        }
        if (p->value_key != joined.key || p->number != next) {
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
