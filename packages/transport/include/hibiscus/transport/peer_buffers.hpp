#pragma once

#include "hibiscus/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace hibiscus::transport {

/// Bounds on what the servers of a process hold for their callers.
struct peer_buffer_limits {
    /// Bytes held for one connection above which the source of its response
    /// pauses.
    std::size_t connection_bytes = 256 * 1024;
    /// Bytes of responses held for all connections.
    std::size_t total_bytes = 24 * 1024 * 1024;
    /// Time after which a caller that reads nothing is disconnected, in ms. A
    /// receiver with a large buffer announces room only now and then, so a
    /// slow one may seem to read nothing for most of a minute.
    base::millis stall_timeout_ms = 60000;
    /// Bytes of large bodies of requests, beside the responses. 0 stands for
    /// half of `total_bytes`. What is read without a reservation may take a
    /// quarter as much again.
    std::size_t request_bytes = 0;
};

/// Accounts for the bytes that the servers of a process hold for their callers,
/// and decides which sources pause and which callers are disconnected.
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

    /// Counts `bytes` more of the body of a request, which has reserved
    /// `reserved` before, until its response has been sent. Returns false, and
    /// counts nothing, if there is no room; a single body always has room.
    bool reserve_request(std::size_t bytes, std::size_t reserved = 0);
    void release_request(std::size_t bytes);

    /// Counts bytes of requests that were read without a reservation; a
    /// negative number if they are held no longer.
    void count_unreserved(std::ptrdiff_t bytes);

    /// Returns true while requests have to be given up: what was read without a
    /// reservation takes more than its part.
    bool has_request_excess() const;

    /// Returns true if a head that takes `bytes`, which are counted already,
    /// takes more than its share of what is free. A small head never does.
    bool lacks_head_room(std::size_t bytes) const;

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
    std::size_t held() const {
        return response_bytes_ + reserved_bytes_ + unreserved_bytes_;
    }
    std::size_t peak() const { return peak_; }

private:
    struct holding {
        std::size_t bytes = 0;
        base::millis progress_at = 0;
    };

    /// Returns the bytes that one connection may hold.
    std::size_t share() const;
    std::size_t free_bytes() const;
    std::size_t max_reserved_bytes() const;
    /// Returns the bytes that may be read without a reservation.
    std::size_t max_unreserved_bytes() const;
    void update_peak();

    peer_buffer_limits limits_;
    /// Connections with unsent bytes.
    std::map<connection_id, holding> holdings_;
    std::size_t response_bytes_ = 0;
    std::size_t reserved_bytes_ = 0;
    std::size_t unreserved_bytes_ = 0;
    std::size_t peak_ = 0;
};

} // namespace hibiscus::transport
