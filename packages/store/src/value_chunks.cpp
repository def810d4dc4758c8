#include "hibiscus/store/value_chunks.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace hibiscus::store {

namespace {

/// Separates the key of a value from the number of a chunk. No key contains it,
/// and it sorts before every character that keys contain.
constexpr char chunk_separator = '\x01';

/// Digits of a chunk's number and of the chunk count. The fixed width makes the
/// keys sort in chunk order. With records of 4 KB, four digits allow values of
/// 30 MB.
constexpr std::size_t chunk_number_width = 4;

/// Size of a record besides its value: the longest key and the framing.
constexpr std::size_t record_overhead_bytes = 512;

/// Lower bound of the value size of a record, whatever the limits.
constexpr std::size_t min_value_bytes = 256;

/// Returns the maximum value size of a record, in bytes.
std::size_t max_value_bytes(const append_limits& limits) {
    const auto max_bytes =
        std::min(limits.max_record_bytes, limits.max_append_bytes);
    return max_bytes > record_overhead_bytes + min_value_bytes
               ? max_bytes - record_overhead_bytes
               : min_value_bytes;
}

/// Identity of a chunk, as encoded in its key.
struct chunk_id {
    std::string value_key;
    std::size_t number = 0;
    std::size_t count = 0;
};

/// Parses `chunk_number_width` digits at `position`.
std::optional<std::size_t> parse_number(const std::string& text,
                                        std::size_t position) {
    std::size_t value = 0;
    const auto* begin = text.data() + position;
    const auto parsed =
        std::from_chars(begin, begin + chunk_number_width, value);
    if (parsed.ec != std::errc() || parsed.ptr != begin + chunk_number_width) {
        return std::nullopt;
    }
    return value;
}

std::optional<chunk_id> parse_chunk_key(const std::string& key) {
    const auto separator = key.rfind(chunk_separator);
    if (separator == std::string::npos ||
        key.size() != separator + 1 + 2 * chunk_number_width) {
        return std::nullopt;
    }
    const auto number = parse_number(key, separator + 1);
    const auto count = parse_number(key, separator + 1 + chunk_number_width);
    if (!number || !count || *number >= *count) {
        return std::nullopt;
    }
    return chunk_id{key.substr(0, separator), *number, *count};
}

std::string zero_pad(std::size_t number) {
    const auto text = std::to_string(number);
    return std::string(chunk_number_width -
                           std::min(chunk_number_width, text.size()),
                       '0') +
           text;
}

std::string make_chunk_key(const chunk_id& id) {
    return id.value_key + chunk_separator + zero_pad(id.number) +
           zero_pad(id.count);
}

/// Appends the chunks of a value, or the record itself if it fits.
void append_chunks(record r, std::size_t max_bytes, std::vector<record>& out) {
    if (r.value.size() <= max_bytes) {
        out.push_back(std::move(r));
        return;
    }
    const auto count = (r.value.size() + max_bytes - 1) / max_bytes;
    for (std::size_t n = 0; n < count; ++n) {
        out.push_back({make_chunk_key({r.key, n, count}),
                       r.value.substr(n * max_bytes, max_bytes)});
    }
}

} // namespace

std::vector<std::vector<record>>
split_into_appends(std::vector<record> records, const append_limits& limits) {
    const auto max_bytes = max_value_bytes(limits);
    std::vector<record> chunks;
    for (auto& r : records) {
        append_chunks(std::move(r), max_bytes, chunks);
    }
    std::vector<std::vector<record>> appends;
    std::size_t append_bytes = 0;
    for (auto& r : chunks) {
        const auto size = r.value.size() + record_overhead_bytes;
        if (appends.empty() || append_bytes + size > limits.max_append_bytes) {
            appends.emplace_back();
            append_bytes = 0;
        }
        append_bytes += size;
        appends.back().push_back(std::move(r));
    }
    return appends;
}

bool completes_value(const record& r) {
    const auto chunk = parse_chunk_key(r.key);
    return !chunk || chunk->number + 1 == chunk->count;
}

std::vector<record> join_chunks(std::vector<record> records) {
    std::vector<record> out;
    record joined;
    std::size_t next_number = 0;
    for (auto& r : records) {
        const auto chunk = parse_chunk_key(r.key);
        if (!chunk) {
            out.push_back(std::move(r));
            continue;
        }
        if (chunk->number == 0) {
            joined = {chunk->value_key, ""};
            next_number = 0;
        }
        if (chunk->value_key != joined.key || chunk->number != next_number) {
            continue;
        }
        joined.value += r.value;
        ++next_number;
        if (next_number == chunk->count) {
            out.push_back(std::exchange(joined, {}));
        }
    }
    return out;
}

} // namespace hibiscus::store
