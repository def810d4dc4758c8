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

/// A request of a keep_alive_client.
struct client_request {
    std::string id;
    std::string method = "POST";
    std::string target;
    transport::headers fields;
    std::string body;
    /// Delay before the client sends the request, in ms.
    base::millis delay_ms = 0;
    /// In how many writes, a few ms apart, the request is sent.
    std::size_t write_count = 1;
};

/// The outcome of a request, as the client observed it.
struct client_response {
    /// 0 if the connection ended without a complete response.
    int status = 0;
    std::string body;
    /// Whether all bytes of the request were sent.
    bool fully_sent = false;
    /// Whether the connection was reset rather than closed.
    bool connection_reset = false;
    /// The time from the last byte sent to the end of the request, in ms; 0 if
    /// the request was not fully sent.
    base::millis wait_ms = 0;
};

/// Sends requests one after another on a keep-alive connection. Opens a new
/// connection after the node has closed the old one or announced that it will,
/// and retries while the node is unreachable.
class keep_alive_client {
public:
    using request_source = std::function<client_request()>;
    using completion_handler =
        std::function<void(const client_request&, const client_response&)>;

    /// Starts the client. Calls `next_request` to get each request and
    /// `on_complete` when the request has ended.
    keep_alive_client(boost::asio::io_context& io, const base::endpoint& node,
                      request_source next_request,
                      completion_handler on_complete);
    ~keep_alive_client();

    keep_alive_client(const keep_alive_client&) = delete;
    keep_alive_client& operator=(const keep_alive_client&) = delete;

    /// Stops the client after the current request.
    void stop();

    /// Returns true once the client has stopped and no request is in flight.
    bool is_stopped() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::testing
