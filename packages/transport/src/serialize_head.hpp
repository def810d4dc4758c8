#pragma once

#include "hibiscus/transport/upstream.hpp"

namespace hibiscus::transport {

/// Returns the head of a request as it is sent to `address`.
std::string serialize_head(const upstream_request& request,
                           const base::endpoint& address);

} // namespace hibiscus::transport
