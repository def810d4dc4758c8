#pragma once

#include "hibiscus/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace hibiscus::transport {

/// Bounds on what a server holds for its callers.
struct peer_buffer_limits {
    /// Bytes held for one connection above which the source of its response
    /// pauses.
    std::size_t connection_bytes = 256 * 1024;
    /// Bytes of responses held for all connections. Bodies of requests may take
    /// half as much beside them.
    std::size_t total_bytes = 24 * 1024 * 1024;
    /// Time after which a caller that reads nothing is disconnected, in ms. A
    /// receiver with a large buffer announces room only now and then, so a
    /// slow one may seem to read nothing for most of a minute.
    base::millis stall_timeout_ms = 60000;
};

/// Accounts for the bytes that a server holds for its callers, and decides
/// which sources pause and which callers are disconnected.
class peer_buffers {
public:
    using connection_id = std::uint64_t;

    void set_limits(peer_buffer_limits limits) { limits_ = limits; }

    /// Counts `bytes` of a response that wait to be sent.
    void add(connection_id connection, std::size_t bytes, base::millis now);

    /// Called when the caller has taken `bytes`, or when the kernel reports
    /// progress without taking more (0).
    void on_progress(connection_id connection, std::size_t bytes,
                     base::millis now);

    /// Forgets a connection.
    void erase(connection_id connection);

    /// Counts the body of a request, from its announcement until its response
    /// has been sent. Returns false, and counts nothing, if there is no room; a
    /// single body always has room.
    bool reserve_request(std::size_t bytes);
    void release_request(std::size_t bytes);

    /// Returns true while the source of a response is to pause.
    bool is_full(connection_id connection) const;

    /// Returns how many bytes a response may add at once, so that many of them
    /// stay within the total. Returns 0 if it has to wait.
    std::size_t room() const;

    /// Returns the connection to close now: the largest holder while the total
    /// is exceeded, or one that has made no progress for too long.
    std::optional<connection_id> find_excess() const;
    std::optional<connection_id> find_stalled(base::millis now) const;

    /// Bytes of responses and requests, now and at most so far.
    std::size_t held() const { return response_bytes_ + request_bytes_; }
    std::size_t peak() const { return peak_; }

private:
    struct holding {
        std::size_t bytes = 0;
        base::millis progress_at = 0;
    };

    /// Returns the bytes that one connection may hold.
    std::size_t share() const;
    std::size_t free_bytes() const;
    void update_peak();

    peer_buffer_limits limits_;
    /// Connections with unsent bytes.
    std::map<connection_id, holding> holdings_;
    std::size_t response_bytes_ = 0;
    std::size_t request_bytes_ = 0;
    std::size_t peak_ = 0;
};

} // namespace hibiscus::transport
