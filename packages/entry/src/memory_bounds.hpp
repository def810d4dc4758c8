#pragma once

#include "hibiscus/transport/peer_buffers.hpp"

#include <cstddef>

namespace hibiscus::entry {

/// Returns what the servers of a process with `memory_mb` MB of memory may hold
/// for their callers.
transport::peer_buffer_limits make_buffer_limits(std::size_t memory_mb);

/// Returns how many bytes a process with `memory_mb` MB of memory may keep of
/// the responses of servers.
std::size_t max_response_bytes(std::size_t memory_mb);

/// Returns how many connections of callers a process may have open that may
/// open `max_descriptors`, or what the system allows if that is less or the
/// number is 0.
std::size_t max_caller_connections(std::size_t max_descriptors);

/// Sets up the allocator so that large blocks return to the system as soon as
/// they are released. Otherwise the memory of an earlier crowd stays with the
/// process.
void return_large_blocks();

} // namespace hibiscus::entry
