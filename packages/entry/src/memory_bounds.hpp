#pragma once

#include "hibiscus/transport/peer_buffers.hpp"

#include <cstddef>

namespace hibiscus::entry {

/// Returns what the servers of a process with `memory_mb` MB of memory may hold
/// for their callers.
transport::peer_buffer_limits make_buffer_limits(std::size_t memory_mb);

/// Sets up the allocator so that large blocks return to the system as soon as
/// they are released. Otherwise the memory of an earlier crowd stays with the
/// process.
void return_large_blocks();

} // namespace hibiscus::entry
