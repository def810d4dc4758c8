#pragma once

#include "hibiscus/transport/upstream.hpp"

namespace hibiscus::transport {

/// Returns the bytes of a request as they are sent to `address`.
std::string serialize_request(const upstream_request& request,
                              const base::endpoint& address);

} // namespace hibiscus::transport
