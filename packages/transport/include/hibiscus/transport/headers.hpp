#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hibiscus::transport {

/// A header field of an HTTP message.
struct header {
    std::string name;
    std::string value;
};

/// The header fields of an HTTP message, in the order received or sent.
using headers = std::vector<header>;

/// Returns true if the field is named `name`, ignoring case.
bool has_name(const header& field, std::string_view name);

/// Returns the value of the first field named `name`, ignoring case, or nullptr
/// if there is none.
const std::string* find_header(const headers& fields, std::string_view name);

/// Removes all fields named `name`, ignoring case.
void erase_headers(headers& fields, std::string_view name);

/// Returns true if the field applies only to a single connection, so that a
/// proxy must not forward it.
bool is_hop_by_hop(std::string_view name);

} // namespace hibiscus::transport
