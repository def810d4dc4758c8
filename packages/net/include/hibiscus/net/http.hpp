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

/// An HTTP request with its complete body.
struct http_request {
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::string content_type = "application/json";
};

/// An HTTP response with its complete body.
struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    /// Set by http_client: the request was sent before on another connection,
    /// and it is unknown whether the server handled that first copy.
    bool resent = false;
};

/// Whether a request without a complete response may have reached the server.
enum class delivery_status {
    not_sent, ///< No byte of the request was sent.
    lost      ///< It may have been sent; the server may have handled it.
};

/// The result of a request without a complete response.
struct http_failure {
    delivery_status status = delivery_status::lost;
};

/// The response to a request, or why there is none.
using http_result = std::variant<http_response, http_failure>;

/// Sends the response to one request. Call it once, from any thread.
using http_responder = std::function<void(http_response)>;

/// Handles one request. Must not block.
using http_handler = std::function<void(http_request, http_responder)>;

/// Limits that protect a server from untrusted callers.
struct http_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// The maximum time to receive a request, including the idle time before
    /// it, in ms.
    base::millis read_timeout_ms = 15000;
    /// The maximum time to send a response, in ms.
    base::millis write_timeout_ms = 15000;
    std::size_t max_connections = 4096;
    /// The total size of all request bodies that are being read or handled. A
    /// request that would exceed it is rejected with status 429.
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
