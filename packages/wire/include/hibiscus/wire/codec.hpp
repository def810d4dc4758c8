#pragma once

#include "hibiscus/base/result.hpp"
#include "hibiscus/wire/claims.hpp"
#include "hibiscus/wire/peer.hpp"

#include <string>
#include <string_view>

namespace hibiscus::wire {

/// Says that bytes are not the message that was expected.
struct decode_error {
    /// What is wrong, for the log and for the sender.
    std::string message;
};

/// Returns `message` as JSON text. Instantiated for the messages of this
/// package.
template <class T>
std::string to_json(const T& message);

/// Returns the message that `text` holds. Unknown keys are ignored, missing
/// and mistyped ones are an error.
template <class T>
base::result<T, decode_error> from_json(std::string_view text);

/// Returns `message` in CBOR, in an envelope with the protocol's version.
std::string to_cbor(const peer_message& message);

/// Returns the message that `bytes` holds. Nesting deeper than 32 levels is
/// an error, so that a hostile message cannot exhaust the stack.
base::result<peer_message, decode_error> from_cbor(std::string_view bytes);

} // namespace hibiscus::wire
