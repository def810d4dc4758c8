#pragma once

#include "hibiscus/net/http.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace hibiscus::net {

/// Whether a request may be sent over a pooled connection.
enum class connection_reuse {
    /// Yes. If the pooled connection fails before any response byte arrives,
    /// the request is sent again over a new one. Only for idempotent requests.
    allowed,
    /// No. The request is sent at most once, over a new connection.
    never
};

/// Sends HTTP/1.1 requests. Thread-safe.
class http_client {
public:
    /// Constructs a client whose connections must open within `connect_ms`
    /// and are dropped from the pool after `idle_ms` without a request. This
    /// must be less than the idle timeout of the servers. A short limit also
    /// makes it less likely that a middlebox has silently dropped a pooled
    /// connection.
    http_client(boost::asio::io_context& io, base::millis connect_ms,
                base::millis idle_ms = 8000);

    /// Sends `request` to `target`. Calls `done` once, on a thread of the
    /// context, with the response, or with an http_failure if the request
    /// fails, is cancelled or takes longer than `timeout` ms. The returned
    /// function cancels the request: if `done` has not been called yet, it is
    /// called soon.
    std::function<void()> send(const base::endpoint& target,
                               http_request request, base::millis timeout,
                               connection_reuse mode,
                               std::function<void(http_result)> done);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::net
