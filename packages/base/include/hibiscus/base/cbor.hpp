#pragma once

#include "hibiscus/base/bounded_json.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace hibiscus::base {

/// Encodes a value as CBOR.
inline std::string encode_cbor(const nlohmann::json& value) {
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

/// Decodes a CBOR value with `decode`, which returns an optional. Returns
/// std::nullopt if the bytes are not CBOR or nested too deeply, or if a field
/// is missing or of another type.
template <class Decode>
auto decode_cbor(const std::string& bytes, const Decode& decode)
    -> decltype(decode(nlohmann::json())) {
    try {
        const auto value = parse_cbor(bytes);
        if (value.is_discarded()) {
            return std::nullopt;
        }
        return decode(value);
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace hibiscus::base
