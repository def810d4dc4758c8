#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscus::base {

/// An IP address and a port.
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

/// Parses an endpoint such as "127.0.0.1:80". Returns nothing if the text
/// before the last colon is empty or the text after it is not a port from 0 to
/// 65535. Does not validate the IP address.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Formats `address` so that parse_endpoint() can read it back.
std::string to_string(const endpoint& address);

} // namespace hibiscus::base
