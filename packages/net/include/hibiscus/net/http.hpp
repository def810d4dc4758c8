#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/enum_names.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <variant>

namespace hibiscus::net {

/// A request, read whole.
struct http_request {
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::string content_type = "application/json";
};

/// An answer, sent whole.
struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    /// Set by a client: an earlier send of the request, of which nothing more
    /// is known, came before the one that was answered.
    bool resent = false;
};

/// How far a request got that has no answer.
enum class delivery_status {
    not_sent, ///< No byte of it can have left.
    lost      ///< Some of it may have left; what became of it is not known.
};

/// Says that a request has no answer.
struct http_failure {
    delivery_status status = delivery_status::lost;
};

/// What a request came to.
using http_result = std::variant<http_response, http_failure>;

/// Sends the answer to one request. It may be called once, by any thread.
using http_responder = std::function<void(http_response)>;

/// Handles one request. It must not block.
using http_handler = std::function<void(http_request, http_responder)>;

/// Bounds on what a server takes from a stranger.
struct http_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// The longest time for one request to arrive, or between two, in ms.
    base::millis read_timeout_ms = 15000;
    /// The longest time to take the answer, in ms.
    base::millis write_timeout_ms = 15000;
    std::size_t max_connections = 4096;
    /// The bytes of all bodies that are being read or handled. A request that
    /// would go over it is refused.
    std::size_t max_buffered_bytes = 128 * 1024 * 1024;
};

} // namespace hibiscus::net

namespace hibiscus::base {

template <>
struct enum_names<net::delivery_status> {
    static constexpr std::array<enum_name<net::delivery_status>, 2> table{{
        {net::delivery_status::not_sent, "not_sent"},
        {net::delivery_status::lost, "lost"},
    }};
};

} // namespace hibiscus::base
