#pragma once

#include "hibiscus/base/enum_names.hpp"

#include <algorithm>
#include <array>
#include <string_view>

/// What RFC 9110 and RFC 9112 ask a client to check of a response that a parser
/// has accepted.
namespace hibiscus::base {

/// What a response is to the client that reads it.
enum class response_kind {
    /// The response to the request.
    final_response,
    /// One that the response to the request follows.
    interim_response,
    /// None that a client may use.
    malformed,
};

/// Returns what a response with this status is. Status 101 is malformed: it
/// accepts an upgrade, which the clients never ask for.
response_kind classify_status(unsigned status);

/// Returns true if a line of the head continues the field before it. RFC 9112,
/// section 5.2, lets a proxy reject such a response.
bool has_folded_line(std::string_view head);

/// Returns true if a body with this Transfer-Encoding field can be read: it is
/// chunked and has no other coding. `version` is 10 for HTTP/1.0, which has no
/// codings, and 11 for HTTP/1.1.
bool is_readable_coding(std::string_view field_value, unsigned version);

/// Returns true if is_readable_coding() holds for all Transfer-Encoding fields
/// of a message of Boost.Beast.
template <class Message>
bool has_readable_coding(const Message& message) {
    const auto fields = message.equal_range("Transfer-Encoding");
    return std::all_of(fields.first, fields.second, [&](const auto& field) {
        const auto value = field.value();
        return is_readable_coding({value.data(), value.size()},
                                  message.version());
    });
}

template <>
struct enum_names<response_kind> {
    static constexpr std::array<enum_name<response_kind>, 3> table{{
        {response_kind::final_response, "final"},
        {response_kind::interim_response, "interim"},
        {response_kind::malformed, "malformed"},
    }};
};

} // namespace hibiscus::base
