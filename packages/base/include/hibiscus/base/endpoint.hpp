#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscus::base {

/// An address by IP number and a port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint& a, const endpoint& b) {
        return a.ip == b.ip && a.port == b.port;
    }
    friend bool operator<(const endpoint& a, const endpoint& b) {
        return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
    }
};

/// Returns the endpoint that `text` ("127.0.0.1:80") names, or nothing if it
/// has no port between 0 and 65535. The IP number itself is not checked.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Returns `e` in the form that parse_endpoint() reads.
std::string to_string(const endpoint& e);

} // namespace hibiscus::base
