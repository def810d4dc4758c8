#pragma once

#include "hibiscus/cluster/member_table.hpp"

#include <map>
#include <vector>

namespace hibiscus::cluster {

/// Knows which nodes cannot speak to which engines. Unreachable is a fact of a
/// pair: an engine that its home cannot reach goes to the next node in
/// rendezvous order before it is taken for dead.
class engine_reachability {
public:
    /// Constructs an empty table. What a node says holds for `hold` ms, so
    /// that it gets its engines back when the way between them is mended.
    explicit engine_reachability(base::millis hold);

    /// Notes what a node says of the engines whose home it is. Returns true
    /// if an engine may have another home now.
    bool update(base::millis now, const base::node_id& node,
                const std::vector<wire::engine_status>& digests);

    /// Forgets what is too old. Returns true if an engine may have another
    /// home now.
    bool remove_expired(base::millis now);

    /// Returns the home of `engine` among `members`, or the empty id.
    base::node_id home_of(const base::engine_id& engine,
                          const member_table& members) const;

private:
    base::millis hold_ms_;
    /// By engine, the nodes that cannot reach it and until when that counts.
    std::map<base::engine_id, std::map<base::node_id, base::millis>>
        unreachable_from_;
};

} // namespace hibiscus::cluster
