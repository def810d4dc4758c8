#include "memory_bounds.hpp"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>

namespace hibiscus::entry {

namespace {

constexpr std::size_t bytes_per_mb = 1000 * 1000;

/// What a node needs beside its callers: its tables, the calls to the store and
/// to servers, and one job that is being decoded, in MB.
constexpr std::size_t own_memory_mb = 48;

/// The part of it that the responses of servers may take.
constexpr std::size_t response_divisor = 3;

/// Descriptors that are not sockets: files, and those of the runtime.
constexpr std::size_t file_descriptors = 200;

/// The smallest block that the allocator returns to the system at once, and the
/// released memory that it keeps at the end of its heap, in bytes. Smaller
/// values would cost system calls for the records of the store.
constexpr int large_block_bytes = 1024 * 1024;
constexpr int max_kept_bytes = 4 * 1024 * 1024;

std::size_t own_mb(std::size_t memory_mb) {
    return std::min(own_memory_mb, memory_mb / 2);
}

} // namespace

transport::peer_buffer_limits make_buffer_limits(std::size_t memory_mb) {
    transport::peer_buffer_limits limits;
    const auto peer_bytes = (memory_mb - own_mb(memory_mb)) * bytes_per_mb;
    limits.total_bytes = std::min(limits.total_bytes, peer_bytes / 3);
    // Requests that are read without a reservation take a quarter beside it.
    limits.request_bytes = (peer_bytes - limits.total_bytes) / 5 * 4;
    return limits;
}

std::size_t max_response_bytes(std::size_t memory_mb) {
    return own_mb(memory_mb) * bytes_per_mb / response_divisor;
}

std::size_t max_caller_connections(std::size_t max_descriptors) {
    ::rlimit system{};
    auto descriptors = max_descriptors;
    if (::getrlimit(RLIMIT_NOFILE, &system) == 0 &&
        (descriptors == 0 || system.rlim_cur < descriptors)) {
        descriptors = static_cast<std::size_t>(system.rlim_cur);
    }
    const auto sockets =
        descriptors - std::min(file_descriptors, descriptors / 2);
    // The others are for calls to the store, to servers and to other nodes.
    return sockets - sockets / 4;
}

void return_large_blocks() {
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, max_kept_bytes);
}

} // namespace hibiscus::entry
