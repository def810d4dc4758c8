#pragma once

#include "hibiscus/net/http.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace hibiscus::net {

/// Answers HTTP/1.1 on one address. A request that breaks a limit or is not
/// HTTP is answered with a 4xx by the server itself; the handler sees only
/// whole requests. A handler that throws leads to a 500.
class http_server {
public:
    /// Constructs a server that is not listening yet.
    http_server(boost::asio::io_context& io, http_limits limits,
                http_handler handler);

    /// Stops listening. Connections go on until they end.
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on `address`; port 0 lets the kernel choose. Returns the
    /// address in use, or nothing if it cannot be had.
    std::optional<base::endpoint> listen(const base::endpoint& address);

    /// Goes on as before, but ends each connection after its next answer, so
    /// that callers look for another address.
    void drain();

    /// Accepts no further connections.
    void stop_accepting();

    /// Returns for how long no request has been in flight, in ms; 0 while one
    /// is.
    base::millis idle_ms() const;

    /// Returns the number of requests that were handed to the handler and
    /// have no answer yet.
    std::size_t in_flight() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::net
