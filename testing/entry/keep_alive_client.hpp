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
struct client_request {
    std::string id;
    std::string method = "POST";
    std::string target;
    transport::headers fields;
    std::string body;
    /// How long the client waits before it sends the request, in ms.
    base::millis delay_ms = 0;
    /// In how many pieces it is sent, a few ms apart.
    std::size_t write_count = 1;
};

/// What a client saw of a request.
struct client_reply {
    /// 0 if the connection ended without a whole answer.
    int status = 0;
    std::string body;
    /// Whether each byte of the request was sent.
    bool fully_sent = false;
    /// Whether the connection was reset, not closed.
    bool connection_reset = false;
    /// The time from the last byte that was sent to the end, in ms.
    base::millis wait_ms = 0;
};

/// Sends one request after the other on one connection, and opens a new one
/// once the node has closed it or says that it will. While the node can't be
/// reached it tries again.
class keep_alive_client {
public:
    using request_source = std::function<client_request()>;
    using completion_handler =
        std::function<void(const client_request&, const client_reply&)>;

    /// Asks `next` for each request and tells `ended` how it ended.
    keep_alive_client(boost::asio::io_context& io, const base::endpoint& node,
                      request_source next, completion_handler ended);
    ~keep_alive_client();

    keep_alive_client(const keep_alive_client&) = delete;
    keep_alive_client& operator=(const keep_alive_client&) = delete;

    /// Sends no further request.
    void stop();

    /// Returns true once it has stopped and no request is under way.
    bool is_stopped() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::testing
