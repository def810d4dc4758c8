#pragma once

#include "hibiscus/cluster/member_table.hpp"

#include <map>
#include <vector>

namespace hibiscus::cluster {

/// Tracks which nodes cannot reach which engines. If an engine is unreachable
/// from only some nodes, the next node in rendezvous order becomes its home
/// node. If three nodes cannot reach it, the engine is considered dead and
/// returns to its first home node.
class engine_reachability {
public:
    /// Constructs an empty table. A report of an unreachable engine expires
    /// after `report_lifetime` ms, so that the node becomes the engine's home
    /// node again after a network fault is repaired.
    explicit engine_reachability(base::millis report_lifetime);

    /// Records the statuses that `node` reports for the engines whose home node
    /// it is. Returns true if the home node of an engine may have changed.
    bool update(base::millis now, const base::node_id& node,
                const std::vector<wire::engine_status>& statuses);

    /// Removes expired reports. Returns true if the home node of an engine may
    /// have changed.
    bool remove_expired(base::millis now);

    /// Returns the home node of `engine` among `members`, or the empty id if no
    /// member is ready.
    base::node_id home_of(const base::engine_id& engine,
                          const member_table& members) const;

private:
    base::millis report_lifetime_ms_;
    /// By engine, the nodes that cannot reach it and when each report expires.
    std::map<base::engine_id, std::map<base::node_id, base::millis>>
        unreachable_from_;
};

} // namespace hibiscus::cluster
