#pragma once

#include "node_state.hpp"

#include "hibiscus/store/log_store.hpp"
#include "hibiscus/store/store_link.hpp"
#include "hibiscus/transport/upstream.hpp"

namespace hibiscus::entry {

/// Watches the way to the store: notices that it is out of reach, tries it
/// until it serves again, and gives up what hangs there meanwhile.
class store_watch {
public:
    store_watch(node_state& state, transport::upstream_client& client,
                store::delay_function after,
                store::store_link::peers_function peers);

    /// Starts to watch.
    void start();

    /// Where calls to the store go.
    store::store_link& link() { return link_; }

private:
    std::vector<base::endpoint>
    helping(const store::store_link::peers_function& peers) const;
    void give_up_direct_calls();
    void watch();
    void probe();

    node_state& state_;
    transport::upstream_client& client_;
    store::delay_function after_;
    store::store_link link_;
    bool away_ = false;
    base::millis last_probe_ = 0;
};

} // namespace hibiscus::entry
