#pragma once

#include "hibiscus/base/clock.hpp"

/// Limits shared by the source files of job_owner.
namespace hibiscus::entry {

/// Timeout for opening a connection to a server, in ms. Within a region a
/// connection opens within a few ms.
constexpr base::millis server_connect_timeout_ms = 250;

} // namespace hibiscus::entry
