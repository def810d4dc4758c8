#pragma once

#include "hibiscus/document/config_state_machine.hpp"
#include "hibiscus/policy/routing.hpp"
#include "hibiscus/wire/peer.hpp"

#include <map>
#include <memory>
#include <vector>

namespace hibiscus::node {

/// Snapshot of the control state for the traffic threads. A published view is
/// never modified; the control thread replaces it by a new one.
struct routing_view {
    wire::node_state state = wire::node_state::starting;
    std::shared_ptr<const document::revision> revision;
    /// Nodes that accept requests from callers; those in the zone of this node
    /// come first.
    std::vector<wire::entry_address> entries;
    std::map<base::service_id, std::vector<policy::instance_candidate>>
        services;
};

/// Passes the newest view from the control thread to the traffic threads.
/// Neither waits while the other uses a view.
class shared_view {
public:
    /// Constructs with an empty view.
    shared_view() : view_(std::make_shared<const routing_view>()) {}

    /// Replaces the view.
    void publish(std::shared_ptr<const routing_view> view) {
        std::atomic_store(&view_, std::move(view));
    }

    /// Returns the newest view; never null.
    std::shared_ptr<const routing_view> get() const {
        return std::atomic_load(&view_);
    }

private:
    std::shared_ptr<const routing_view> view_;
};

} // namespace hibiscus::node
