#pragma once

#include "hibiscus/net/http.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace hibiscus::net {

/// Serves HTTP/1.1 on one address. The server itself responds with a 4xx
/// status to a request that is malformed or too large, and closes connections
/// over max_connections or past a timeout without a response. The handler is
/// called only for complete requests. If it throws, the response is a 500.
class http_server {
public:
    /// Constructs a server that is not listening yet.
    http_server(boost::asio::io_context& io, http_limits limits,
                http_handler handler);

    /// Stops listening. Open connections are served until they end.
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on `address`; port 0 lets the kernel choose. Returns the
    /// address in use, or nullopt if it cannot be bound.
    std::optional<base::endpoint> listen(const base::endpoint& address);

    /// Closes each connection after its next response, so that callers connect
    /// to another instance. New connections are still accepted.
    void drain();

    /// Stops accepting connections. Open connections are still served.
    void stop_accepting();

    /// Returns how long no request has been in flight, in ms; 0 while one is
    /// in flight.
    base::millis idle_ms() const;

    /// Returns the number of requests that were passed to the handler and
    /// whose response is not sent yet.
    std::size_t in_flight() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::net
