#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>
#include <type_traits>

/// Reads JSON and CBOR that other programs have written.
namespace hibiscus::base {

/// The maximum number of levels of arrays and objects. The JSON library needs a
/// stack frame for each level when it decodes CBOR, copies or writes a value.
constexpr int max_json_depth = 32;

/// The largest integer up to which a double is exact.
constexpr std::int64_t max_exact_integer = std::int64_t{1} << 53U;

/// Returns true if JSON text has more levels than max_json_depth.
bool is_nested_too_deeply(std::string_view text);

/// Parses JSON text. Returns a discarded value if the text is not JSON or is
/// nested too deeply.
nlohmann::json parse_json(std::string_view text);

/// Decodes CBOR. Returns a discarded value if the bytes are not CBOR or are
/// nested too deeply. Throws nlohmann::json::exception for a size that can't be
/// allocated.
nlohmann::json parse_cbor(std::string_view bytes);

/// Returns a number as an integer from `min` to `max`. Throws
/// nlohmann::json::exception for another number or type.
template <class Integer>
Integer to_integer(const nlohmann::json& value, Integer min, Integer max) {
    static_assert(std::is_integral_v<Integer>);
    const auto out_of_range = [&] {
        return nlohmann::json::other_error::create(501, "number out of range",
                                                   &value);
    };
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (max < 0 || number > static_cast<std::uint64_t>(max) ||
            (min > 0 && number < static_cast<std::uint64_t>(min))) {
            throw out_of_range();
        }
        return static_cast<Integer>(number);
    }
    if (value.is_number_integer()) {
        const auto number = value.get<std::int64_t>();
        if (number < static_cast<std::int64_t>(min) ||
            number > static_cast<std::int64_t>(max)) {
            throw out_of_range();
        }
        return static_cast<Integer>(number);
    }
    const auto number = value.get<double>();
    const auto limit = static_cast<double>(max_exact_integer);
    if (!(number >= static_cast<double>(min) &&
          number <= static_cast<double>(max) && number >= -limit &&
          number <= limit)) {
        throw out_of_range();
    }
    return static_cast<Integer>(number);
}

/// Returns a member of an object as to_integer() does, or `absent` if there is
/// none.
template <class Integer>
Integer to_integer(const nlohmann::json& object, const char* name,
                   Integer absent, Integer min, Integer max) {
    const auto found = object.find(name);
    return found == object.end() ? absent : to_integer(*found, min, max);
}

} // namespace hibiscus::base
