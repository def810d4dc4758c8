#pragma once

#include "hibiscus/wire/peer.hpp"

#include <map>
#include <string_view>
#include <vector>

namespace hibiscus::cluster {

/// Returns the node that rendezvous hashing selects for `key`, or the empty id
/// if `nodes` is empty. When a node leaves, only its own keys move.
base::node_id choose_by_rendezvous(std::string_view key,
                                   const std::vector<base::node_id>& nodes);

/// A peer as described by its last heartbeat.
struct member {
    wire::heartbeat heartbeat;
    /// When the heartbeat was received, by the receiver's monotonic clock.
    base::millis received_at = 0;
};

/// The nodes, that is, entry instances, from which this node receives
/// heartbeats, including itself. The views of two nodes may differ, so safety
/// must not depend on them.
class member_table {
public:
    /// Constructs the table of the node `self`. A member is removed if no
    /// heartbeat was received from it for more than `timeout` ms.
    member_table(base::node_id self, base::millis timeout);

    /// Records a heartbeat of a peer or of this node. Ignores heartbeats of
    /// earlier incarnations.
    void record_heartbeat(base::millis now, const wire::heartbeat& heartbeat);

    /// Removes the members whose heartbeats have timed out and returns their
    /// ids. Never removes this node.
    std::vector<base::node_id> remove_expired(base::millis now);

    /// Returns the member `node`, or null if it is unknown.
    const member* find(const base::node_id& node) const;

    /// Returns all members, ordered by id.
    const std::map<base::node_id, member>& all() const { return members_; }

    /// Returns the home node of `key` among the ready nodes, or the empty id if
    /// none is ready. `key` should start with its kind, as in "engine/e1".
    base::node_id home_of(std::string_view key) const;

    /// Returns true if this node is the home node of `key`.
    bool is_home(std::string_view key) const;

    /// Returns a number that increases whenever the home node of a key may have
    /// changed.
    std::uint64_t generation() const { return generation_; }

private:
    void update_ready_nodes();

    base::node_id self_;
    base::millis timeout_;
    std::map<base::node_id, member> members_;
    std::vector<base::node_id> ready_nodes_;
    std::uint64_t generation_ = 0;
};

} // namespace hibiscus::cluster
