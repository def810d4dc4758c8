#pragma once

#include "hibiscus/net/peer_mesh.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>

namespace hibiscus::node {

/// How far a call to a peer got that has no reply.
enum class call_failure {
    not_sent, ///< No byte of it can have left this node.
    lost      ///< The peer may have it.
};

/// What a call to a peer comes to.
using call_result = std::variant<wire::reply_body, call_failure>;

/// Calls other nodes and matches their replies. Lives on the control thread.
class peer_rpc_client {
public:
    /// Constructs an object of the node `self` that speaks over `mesh` and
    /// runs its callbacks on `control`.
    peer_rpc_client(base::node_id self, net::peer_mesh& mesh,
                    boost::asio::io_context& control, base::clock clock);

    /// Calls `to` and calls `done` once, within `deadline` ms.
    void call(const base::node_id& to, wire::call_body body,
              base::millis deadline, std::function<void(call_result)> done);

    /// Takes a reply; one that is late or unknown is dropped.
    void on_reply(wire::reply reply);

    /// Returns the number of calls without a reply.
    std::size_t pending_count() const { return pending_.size(); }

    /// Ends the calls to a node that is no longer heard, or whose link has
    /// closed.
    void fail_calls_to(const base::node_id& node);

    /// Ends the calls whose time is over.
    void expire_calls();

private:
    struct pending_call {
        base::node_id to;
        base::millis deadline = 0;
        std::function<void(call_result)> done;
    };

    void finish(std::uint64_t id, call_result result);

    base::node_id self_;
    net::peer_mesh& mesh_;
    boost::asio::io_context& control_;
    base::clock clock_;
    std::map<std::uint64_t, pending_call> pending_;
    std::uint64_t last_call_id_ = 0;
};

} // namespace hibiscus::node
