#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/wire/codec.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace hibiscus::net {

/// Limits and timeouts of the links between nodes, in bytes and ms.
struct peer_options {
    std::size_t max_message_bytes = 32 * 1024 * 1024;
    /// A link with more unsent bytes than this rejects further messages.
    std::size_t max_unsent_bytes = 16 * 1024 * 1024;
    base::millis ping_interval_ms = 400;
    /// A link without a pong for this long is closed and opened again.
    base::millis pong_timeout_ms = 1500;
    base::millis connect_timeout_ms = 1000;
    base::millis reconnect_delay_ms = 200;
    /// The maximum number of links that peers may open to this node.
    std::size_t max_incoming_links = 2048;
    /// An incoming link without a ping for this long is closed.
    base::millis incoming_idle_timeout_ms = 10000;
};

/// The callbacks of a mesh. They run on the thread of its context.
struct peer_callbacks {
    /// Called for each message from a peer.
    std::function<void(wire::peer_message)> on_message;
    /// Called when a peer sent bytes that can't be decoded. The mesh has
    /// closed the link.
    std::function<void(wire::decode_error)> on_malformed;
    /// Called with true when the link to a node opened, with false when it
    /// closed.
    std::function<void(const base::node_id&, bool)> on_link_change;
};

/// Connects this node to its peers over WebSocket. The node sends over one
/// outgoing link to each peer and receives over the links that peers open to
/// it. Only one thread may run the context. All functions except listen() are
/// thread-safe.
class peer_mesh {
public:
    /// Constructs a mesh without peers.
    peer_mesh(boost::asio::io_context& io, peer_options options,
              peer_callbacks callbacks);

    /// Closes all links.
    ~peer_mesh();

    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    /// Accepts links on `address`; port 0 lets the kernel choose. Returns the
    /// address in use, or nullopt if it cannot be bound.
    std::optional<base::endpoint> listen(const base::endpoint& address);

    /// Sets the peers and their addresses. Links to other nodes, and to peers
    /// whose address changed, are closed.
    void set_peers(std::map<base::node_id, base::endpoint> peers);

    /// Sends a message to `peer`. Calls `on_unsent` if no byte of it was sent,
    /// because no link is open or the link has too many unsent bytes.
    void send(const base::node_id& peer, wire::peer_message message,
              std::function<void()> on_unsent = nullptr);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::net
