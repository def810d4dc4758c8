#pragma once

#include "hibiscus/document/config_state_machine.hpp"
#include "hibiscus/policy/routing.hpp"
#include "hibiscus/wire/peer.hpp"

#include <map>
#include <memory>
#include <vector>

namespace hibiscus::node {

/// What traffic threads know of the control state. It never changes; the
/// control thread publishes a new one instead.
struct routing_view {
    wire::node_state state = wire::node_state::starting;
    std::shared_ptr<const document::revision> config;
    /// Where callers may go, this node's zone first.
    std::vector<wire::entry_address> entries;
    std::map<base::service_id, std::vector<policy::instance_candidate>>
        services;
};

/// Hands the newest view from the control thread to the traffic threads.
/// Neither ever waits for the other.
class shared_view {
public:
    /// Constructs a holder of an empty view.
    shared_view() : view_(std::make_shared<const routing_view>()) {}

    /// Replaces the view.
    void publish(std::shared_ptr<const routing_view> v) {
        std::atomic_store(&view_, std::move(v));
    }

    /// Returns the newest view; never null.
    std::shared_ptr<const routing_view> get() const {
        return std::atomic_load(&view_);
    }

private:
    std::shared_ptr<const routing_view> view_;
};

} // namespace hibiscus::node
