#pragma once

#include "node_state.hpp"

#include "hibiscus/store/log_store.hpp"
#include "hibiscus/store/store_router.hpp"
#include "hibiscus/transport/upstream.hpp"

namespace hibiscus::entry {

/// Monitors the connection to the store. Detects that the store is unreachable,
/// probes it until it responds again, and cancels the calls that hang
/// meanwhile.
class store_monitor {
public:
    store_monitor(node_state& state, transport::upstream_client& client,
                  store::run_after_function run_after,
                  store::store_router::peer_list_function peers);

    /// Starts the periodic check.
    void start();

    /// Returns the router that decides whether a call goes to the store or
    /// through another node.
    store::store_router& router() { return router_; }

private:
    std::vector<base::endpoint>
    relay_peers(const store::store_router::peer_list_function& peers) const;
    void cancel_direct_calls();
    void check_store();
    void probe();

    node_state& state_;
    transport::upstream_client& client_;
    store::run_after_function run_after_;
    store::store_router router_;
    bool store_unreachable_ = false;
    base::millis last_probe_at_ = 0;
};

} // namespace hibiscus::entry
