#pragma once

#include "hibiscus/base/clock.hpp"

/// Limits that several parts of the owner share.
namespace hibiscus::entry {

/// How long a connection to a server may take to open, in ms: in
/// one region it opens within a few ms.
constexpr base::millis server_connect_timeout_ms = 250;

} // namespace hibiscus::entry
