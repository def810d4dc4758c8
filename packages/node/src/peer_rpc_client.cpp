#include "peer_rpc_client.hpp"

#include <boost/asio/post.hpp>

namespace hibiscus::node {

peer_rpc_client::peer_rpc_client(base::node_id self, net::peer_mesh& mesh,
                                 boost::asio::io_context& control_io,
                                 base::clock clock)
    : self_(std::move(self)), mesh_(mesh), control_io_(control_io),
      clock_(std::move(clock)) {}

void peer_rpc_client::call(const base::node_id& peer, wire::call_body body,
                           base::millis timeout,
                           std::function<void(call_result)> done) {
    const auto id = ++last_call_id_;
    pending_[id] = {peer, clock_.now() + timeout, std::move(done)};
    mesh_.send(peer, wire::call{id, self_, timeout, std::move(body)},
               [this, id] {
                   boost::asio::post(control_io_, [this, id] {
                       finish(id, call_failure::not_sent);
                   });
               });
}

void peer_rpc_client::on_reply(wire::reply reply) {
    finish(reply.id, std::move(reply.body));
}

void peer_rpc_client::fail_calls_to(const base::node_id& node) {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, pending] : pending_) {
        if (pending.peer == node) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        finish(id, call_failure::outcome_unknown);
    }
}

void peer_rpc_client::expire_calls() {
    const auto now = clock_.now();
    std::vector<std::uint64_t> ids;
    for (const auto& [id, pending] : pending_) {
        if (now >= pending.deadline) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        finish(id, call_failure::outcome_unknown);
    }
}

void peer_rpc_client::finish(std::uint64_t id, call_result result) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    auto done = std::move(found->second.done);
    pending_.erase(found);
    done(std::move(result));
}

} // namespace hibiscus::node
