#pragma once

#include "node_state.hpp"
#include "node_table.hpp"

#include "hibiscus/store/partition_watcher.hpp"

#include <memory>
#include <vector>

namespace hibiscus::entry {

/// The nodes that callers may use, as they say themselves in the store. Each
/// renews its own record; one that does not is left out after a while.
class node_directory {
public:
    node_directory(node_state& state, const store::log_store& log_store,
                   store::run_after_function run_after);

    /// Starts to read and to renew.
    void start();

    /// Tells the others that this node stops.
    void announce_shutdown();

    const node_table& nodes() const { return nodes_; }

private:
    void renew_registration();
    void apply_changes(const std::vector<store::change>& changes);

    node_state& state_;
    const store::log_store& log_store_;
    store::run_after_function run_after_;
    node_table nodes_;
    store::partition_watcher watcher_;
};

} // namespace hibiscus::entry
