#pragma once

#include "node_state.hpp"
#include "node_table.hpp"

#include "hibiscus/store/partition_watcher.hpp"

#include <memory>
#include <vector>

namespace hibiscus::entry {

/// The directory of nodes, built from records in the store. Each node renews
/// its own record; a node that does not renew it in time is omitted.
class node_directory {
public:
    node_directory(node_state& state, const store::log_store& log_store,
                   store::run_after_function run_after);

    /// Starts to read the records and to renew the own one.
    void start();

    /// Announces to the other nodes that this node is stopping.
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
