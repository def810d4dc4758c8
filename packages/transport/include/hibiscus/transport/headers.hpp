#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hibiscus::transport {

/// One header field of a message.
struct header {
    std::string name;
    std::string value;
};

/// The header fields of a message, in their order.
using headers = std::vector<header>;

/// Returns the value of the first field called `name`, whatever its case, or
/// null.
const std::string* find_header(const headers& fields, std::string_view name);

/// Returns true if a field concerns one connection only, so that a proxy must
/// not forward it.
bool is_hop_by_hop(std::string_view name);

} // namespace hibiscus::transport
