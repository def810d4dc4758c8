#pragma once

#include "node_state.hpp"
#include "node_table.hpp"

#include "hibiscus/store/follower.hpp"

#include <memory>
#include <vector>

namespace hibiscus::entry {

/// The nodes that callers may use, as they say themselves in the store. Each
/// renews its own record; one that does not is left out after a while.
class directory {
public:
    directory(node_state& state, const store::log_store& store,
              store::delay_function after);

    /// Starts to read and to renew.
    void start();

    /// Tells the others that this node stops.
    void leave();

    const node_table& nodes() const { return nodes_; }

private:
    void renew();
    void apply(const std::vector<store::change>& changes);

    node_state& state_;
    const store::log_store& store_;
    store::delay_function after_;
    node_table nodes_;
    store::follower follower_;
};

} // namespace hibiscus::entry
