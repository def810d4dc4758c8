#pragma once

#include "hibiscus/net/peer_mesh.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>

namespace hibiscus::node {

/// Why a call to a peer has no reply.
enum class call_failure {
    not_sent,       ///< No byte of the call has left this node.
    outcome_unknown ///< The peer may have received or executed the call.
};

/// The reply to a call, or the reason why there is none.
using call_result = std::variant<wire::reply_body, call_failure>;

/// Sends calls to other nodes and matches the replies to them. Must be used on
/// the control thread only.
class peer_rpc_client {
public:
    /// Constructs a client of the node `self` that sends over `mesh`. Callbacks
    /// run on `control_io`.
    peer_rpc_client(base::node_id self, net::peer_mesh& mesh,
                    boost::asio::io_context& control_io, base::clock clock);

    /// Sends a call to `peer`. Runs `done` exactly once; expire_calls() fails
    /// the call after `timeout` ms.
    void call(const base::node_id& peer, wire::call_body body,
              base::millis timeout, std::function<void(call_result)> done);

    /// Finishes the call that `reply` belongs to. Ignores the reply if that
    /// call is unknown or already finished.
    void on_reply(wire::reply reply);

    /// Returns the number of calls without a reply.
    std::size_t pending_count() const { return pending_.size(); }

    /// Fails the calls to a node that has left the cluster or whose link has
    /// closed.
    void fail_calls_to(const base::node_id& node);

    /// Fails the calls whose deadline has passed. Must be called periodically.
    void expire_calls();

private:
    struct pending_call {
        base::node_id peer;
        base::millis deadline = 0;
        std::function<void(call_result)> done;
    };

    void finish(std::uint64_t id, call_result result);

    base::node_id self_;
    net::peer_mesh& mesh_;
    boost::asio::io_context& control_io_;
    base::clock clock_;
    std::map<std::uint64_t, pending_call> pending_;
    std::uint64_t last_call_id_ = 0;
};

} // namespace hibiscus::node
