#pragma once

#include "node_state.hpp"

#include "hibiscus/store/partition_watcher.hpp"

namespace hibiscus::entry {

/// Keeps the table of backend servers up to date with their registrations in
/// the store. Registrations that disappear during an outage of the store may
/// belong to running servers, which get some time to register again.
class server_registry {
public:
    server_registry(node_state& state, const store::log_store& log_store,
                    const store::run_after_function& run_after);

    void start() { watcher_.start(); }
    bool is_loaded() const { return watcher_.is_loaded(); }

private:
    void apply_changes(const std::vector<store::change>& changes);
    void set_store_reachable(bool reachable);

    node_state& state_;
    store::run_after_function run_after_;
    store::partition_watcher watcher_;
    bool store_reachable_ = false;
    base::millis store_reachable_since_ = 0;
    std::uint64_t reconnects_ = 0;
};

} // namespace hibiscus::entry
