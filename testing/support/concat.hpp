#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace hibiscus::testing {

/// Returns the parts in one string.
inline std::string concat(std::initializer_list<std::string_view> parts) {
    std::string joined;
    for (const auto part : parts) {
        joined += part;
    }
    return joined;
}

} // namespace hibiscus::testing
