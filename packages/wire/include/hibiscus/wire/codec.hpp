#pragma once

#include "hibiscus/base/result.hpp"
#include "hibiscus/wire/claims.hpp"
#include "hibiscus/wire/peer.hpp"

#include <string>
#include <string_view>

namespace hibiscus::wire {

/// The error for bytes that are not a valid message of the expected type.
struct decode_error {
    /// A description of the error, for the log and for the sender.
    std::string message;
};

/// Returns `message` as JSON text. codec.cpp instantiates it for each message
/// type that is sent as JSON.
template <class T>
std::string to_json(const T& message);

/// Parses the JSON `text`. Unknown keys are ignored. Returns an error if the
/// text is not valid JSON or is nested deeper than 32 levels, if a required key
/// is missing or if a value has the wrong type.
template <class T>
base::result<T, decode_error> from_json(std::string_view text);

/// Returns `message` as CBOR, with the version of the peer protocol.
std::string to_cbor(const peer_message& message);

/// Parses the CBOR `bytes`. Returns an error if they are not a valid message of
/// this protocol version, or are nested deeper than 32 levels: a malicious
/// message could otherwise exhaust the stack.
base::result<peer_message, decode_error> from_cbor(std::string_view bytes);

} // namespace hibiscus::wire
