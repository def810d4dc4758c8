#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/transport/headers.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hibiscus::testing {

/// A request that a client sends on a connection that it keeps.
struct kept_request {
    std::string id;
    std::string method = "POST";
    std::string target;
    transport::headers fields;
    std::string body;
    /// How long the client waits before it sends the request, in ms.
    base::millis pause_ms = 0;
    /// In how many pieces it is sent, a few ms apart.
    std::size_t pieces = 1;
};

/// What a client saw of a request.
struct kept_reply {
    /// 0 if the connection ended without a whole answer.
    int status = 0;
    std::string body;
    /// Whether each byte of the request was sent.
    bool sent = false;
    /// Whether the connection was reset, not closed.
    bool reset = false;
    /// The time from the last byte that was sent to the end, in ms.
    base::millis waited = 0;
};

/// Sends one request after the other on one connection, and opens a new one
/// once the node has closed it or says that it will. While the node can't be
/// reached it tries again.
class kept_client {
public:
    using next_function = std::function<kept_request()>;
    using ended_function =
        std::function<void(const kept_request&, const kept_reply&)>;

    /// Asks `next` for each request and tells `ended` how it ended.
    kept_client(boost::asio::io_context& io, const base::endpoint& node,
                next_function next, ended_function ended);
    ~kept_client();

    kept_client(const kept_client&) = delete;
    kept_client& operator=(const kept_client&) = delete;

    /// Sends no further request.
    void stop();

    /// Returns true once it has stopped and no request is under way.
    bool stopped() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::testing
