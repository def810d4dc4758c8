#pragma once

#include "hibiscus/net/http_client.hpp"
#include "hibiscus/wire/engine.hpp"
#include "hibiscus/wire/peer.hpp"

#include <functional>
#include <optional>

namespace hibiscus::node {

/// HTTP client for model engines. Callbacks run on a traffic thread unless
/// stated otherwise.
class engine_client {
public:
    /// Constructs a client that sends its requests with `http`.
    engine_client(net::http_client& http, base::clock clock);

    /// Starts a stream unless the engine already has one with this ID. Passes
    /// true to `done` if the engine has the stream.
    void start_stream(const base::endpoint& engine,
                      const wire::stream_start& start,
                      std::function<void(bool)> done);

    /// Stops a stream. The result is ignored: an engine that missed the request
    /// generates the sample to its end, and the sample is then discarded.
    void stop_stream(const base::endpoint& engine,
                     const base::stream_id& stream);

    /// Polls the engine for reports on streams. Passes nullopt to `done` if the
    /// poll failed.
    void poll_streams(
        const base::endpoint& engine, const wire::engine_poll& poll,
        std::function<void(std::optional<wire::engine_poll_response>)> done);

    /// Sends an order to serve a version, unless the monotonic time
    /// `expires_at` has passed. Passes nullopt to `done` if the order was not
    /// sent, in which case `done` runs before the function returns, or if its
    /// outcome is unknown.
    void
    send_order(const base::endpoint& engine, const wire::version_order& order,
               base::millis expires_at,
               std::function<void(std::optional<wire::order_result>)> done);

private:
    net::http_client& http_;
    base::clock clock_;
};

} // namespace hibiscus::node
