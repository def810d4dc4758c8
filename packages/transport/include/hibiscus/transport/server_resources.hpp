#pragma once

#include "hibiscus/transport/peer_buffers.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace hibiscus::transport {

class connection_table;

/// What the HTTP servers of a process share: the account of the bytes that are
/// held for callers, and the number of open connections. Must be used only on
/// the thread of the servers.
class server_resources {
public:
    server_resources();
    ~server_resources();

    server_resources(const server_resources&) = delete;
    server_resources& operator=(const server_resources&) = delete;

    /// Changes the bounds on what is held for callers.
    void set_buffer_limits(peer_buffer_limits limits);

    /// Changes the bound on open connections. Beyond it, a new connection takes
    /// the place of the one that has been idle for the longest time.
    void set_max_connections(std::size_t count);

    /// Returns what is held for callers.
    const peer_buffers& buffers() const;

    /// Returns how many connections are open.
    std::size_t open_connections() const;

    /// Returns how many connections were closed to make place for others, or
    /// were not accepted as there was none.
    std::uint64_t displaced_connections() const;

    /// For the servers.
    connection_table& connections() { return *connections_; }

private:
    std::unique_ptr<connection_table> connections_;
};

} // namespace hibiscus::transport
