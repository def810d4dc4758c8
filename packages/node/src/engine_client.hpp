#pragma once

#include "hibiscus/net/http_client.hpp"
#include "hibiscus/wire/engine.hpp"
#include "hibiscus/wire/peer.hpp"

#include <functional>
#include <optional>

namespace hibiscus::node {

/// Speaks to model engines. Callbacks run on a traffic thread.
class engine_client {
public:
    /// Constructs a gateway that tells the time by `clock`.
    engine_client(net::http_client& http, base::clock clock);

    /// Starts a stream, or finds the one of that id. `done` gets true if the
    /// engine has it.
    void start_stream(const base::endpoint& engine,
                      const wire::stream_start& start,
                      std::function<void(bool)> done);

    /// Stops a stream. There is no answer to wait for: an engine that did not
    /// hear it goes on until the stream's end, and nobody takes the sample.
    void stop_stream(const base::endpoint& engine,
                     const base::stream_id& stream);

    /// Asks for news of streams.
    void poll_streams(
        const base::endpoint& engine, const wire::engine_poll& poll,
        std::function<void(std::optional<wire::engine_poll_response>)> done);

    /// Sends an order, unless `expires_at` has passed; `done` gets nothing if
    /// it is not known what became of it.
    void
    send_order(const base::endpoint& engine, const wire::version_order& order,
               base::millis expires_at,
               std::function<void(std::optional<wire::order_result>)> done);

private:
    net::http_client& http_;
    base::clock clock_;
};

} // namespace hibiscus::node
