#include "hibiscus/base/endpoint.hpp"

#include <charconv>

namespace hibiscus::base {

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    endpoint result;
    const char* last = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), last, result.port);
    if (parsed.ec != std::errc() || parsed.ptr != last || digits.empty()) {
        return std::nullopt;
    }
    result.ip = std::string(text.substr(0, colon));
    return result;
}

std::string to_string(const endpoint& address) {
    return address.ip + ":" + std::to_string(address.port);
}

} // namespace hibiscus::base
