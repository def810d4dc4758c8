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

/// Bounds and times of the links between nodes, in bytes and ms.
struct peer_options {
    std::size_t max_message_bytes = 32 * 1024 * 1024;
    /// A link with more unsent bytes than this takes no further message.
    std::size_t max_unsent_bytes = 16 * 1024 * 1024;
    base::millis ping_interval_ms = 400;
    /// A link that has not answered a ping for so long is replaced.
    base::millis pong_timeout_ms = 1500;
    base::millis connect_timeout_ms = 1000;
    base::millis reconnect_delay_ms = 200;
    /// Links that peers may hold to this node.
    std::size_t max_incoming_links = 2048;
    /// A peer's link that is silent for so long is closed. Peers ping.
    base::millis incoming_idle_timeout_ms = 10000;
};

/// What a mesh tells its owner, on the thread of its context.
struct peer_callbacks {
    /// A message came.
    std::function<void(wire::peer_message)> on_message;
    /// Bytes came that are no message; their link has been closed.
    std::function<void(wire::decode_error)> on_malformed;
    /// The link to a node opened or closed.
    std::function<void(const base::node_id&, bool)> on_link_change;
};

/// Keeps one link to each peer, by which this node sends, and accepts theirs.
/// The context must be run by one thread only; all functions but listen() may
/// be called by any thread.
class peer_mesh {
public:
    /// Constructs a mesh without peers.
    peer_mesh(boost::asio::io_context& io, peer_options limits,
              peer_callbacks events);

    /// Closes all links.
    ~peer_mesh();

    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    /// Accepts links on `address`; port 0 lets the kernel choose. Returns the
    /// address in use, or nothing if it cannot be had.
    std::optional<base::endpoint> listen(const base::endpoint& address);

    /// Sets the peers to hold links to, and where they are.
    void set_peers(std::map<base::node_id, base::endpoint> peers);

    /// Sends a message over the link to `to`. Calls `unsent` if no byte of it
    /// can have left, because no link is open or too much waits on it.
    void send(const base::node_id& to, wire::peer_message message,
              std::function<void()> unsent = nullptr);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::net
