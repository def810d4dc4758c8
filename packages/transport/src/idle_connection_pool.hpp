#pragma once

#include "hibiscus/transport/upstream.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <map>
#include <memory>

namespace hibiscus::transport {

/// An open connection without a request in flight.
struct idle_connection {
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
    base::millis expires_at = 0;
};

/// The idle connections of a client, by address.
class idle_connection_pool {
public:
    void put(const base::endpoint& address, idle_connection connection) {
        connections_[address].push_back(std::move(connection));
    }

    /// Takes the newest connection that is open and has no unread input; null
    /// if there is none. Counts unread input, which belongs to no request.
    std::shared_ptr<boost::asio::ip::tcp::socket>
    take(const base::endpoint& address, base::millis now,
         upstream_counts& counts);

    void close(const base::endpoint& address) { connections_.erase(address); }

    void close_expired(base::millis now);

    bool empty() const { return connections_.empty(); }

private:
    std::map<base::endpoint, std::deque<idle_connection>> connections_;
};

} // namespace hibiscus::transport
