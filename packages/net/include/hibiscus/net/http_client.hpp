#pragma once

#include "hibiscus/net/http.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace hibiscus::net {

/// Whether a request may go out on a connection that has been used before.
enum class connection_reuse {
    /// Yes; if the connection turns out to be closed, the request is sent
    /// again on a new one. Only for requests that may run twice.
    allowed,
    /// No, so that `not_sent` can be told from `lost` without doubt.
    never
};

/// Sends HTTP/1.1 requests. Safe for use by several threads.
class http_client {
public:
    /// Constructs a client whose connections must open within `connect_ms`
    /// and are not used again after `idle_ms` without a request. Something on
    /// the way may lose track of an idle connection without a word; a short
    /// limit keeps such ones few, and keeps below the time after which servers
    /// close them.
    http_client(boost::asio::io_context& io, base::millis connect_ms,
                base::millis idle_ms = 8000);

    /// Sends `request` to `target` and calls `done` once, on a thread of the
    /// context, with the answer or with how far it got within `timeout` ms.
    /// The function that it returns gives the request up: `done` is then
    /// called soon, if it was not yet.
    std::function<void()> send(const base::endpoint& target,
                               http_request request, base::millis timeout,
                               connection_reuse mode,
                               std::function<void(http_result)> done);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::net
