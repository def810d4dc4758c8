#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/transport/peer_buffers.hpp"

#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string_view>
#include <vector>

namespace hibiscus::transport {

class server_session;

/// The open connections of all servers of a process, and the account of what is
/// held for them. Decides which of them are given up when room is short.
class connection_table {
public:
    using connection_id = peer_buffers::connection_id;

    peer_buffers& buffers() { return buffers_; }
    const peer_buffers& buffers() const { return buffers_; }

    void set_max_connections(std::size_t count) { max_connections_ = count; }

    /// Adds an open connection. Returns its number.
    connection_id insert(server_session& session);

    void erase(connection_id id) { sessions_.erase(id); }

    /// Returns an open connection, or null.
    server_session* find(connection_id id) const;

    std::size_t size() const { return sessions_.size(); }

    /// Gives up requests that are being read while what was read without a
    /// reservation takes more than its part, and that of `session` if its head
    /// takes more than its share.
    void make_request_room(server_session& session, base::millis now);

    /// Gives up the request that holds the most for the longest time without
    /// progress, unless all make progress. Called when the body of a request
    /// waits for room.
    void give_up_stalled_request(base::millis now);

    /// Closes connections that are idle until there is place for one more.
    /// Returns false if there is none.
    bool make_place(base::millis now);

    /// Returns how many connections were closed to make place, or were not
    /// accepted as there was none.
    std::uint64_t displaced() const { return displaced_; }

    /// Returns memory for one read beyond `kept`, which is copied to its
    /// beginning. Valid until the next call.
    boost::asio::mutable_buffer prepare_read(std::string_view kept);

    /// Returns the first `size` bytes of that memory.
    std::string_view received(std::size_t size) const;

private:
    /// Returns the request without progress that has the most bytes times time,
    /// or null.
    server_session* choose_stalled_request(base::millis now) const;

    /// Returns the request that has the most bytes without a reservation times
    /// time, or null.
    server_session* choose_unreserved_request(base::millis now) const;

    /// Returns the session with the largest cost above 0, or null.
    template <class Cost>
    server_session* choose_request(Cost cost_of) const;

    /// Returns the connection that has waited for input for the longest time,
    /// or null.
    server_session* find_longest_idle(base::millis now) const;

    peer_buffers buffers_;
    std::map<connection_id, server_session*> sessions_;
    connection_id last_id_ = 0;
    std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
    std::uint64_t displaced_ = 0;
    std::vector<char> read_buffer_;
};

} // namespace hibiscus::transport
