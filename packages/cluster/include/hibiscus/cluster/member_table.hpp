#pragma once

#include "hibiscus/wire/peer.hpp"

#include <map>
#include <string_view>
#include <vector>

namespace hibiscus::cluster {

/// Returns the one of `nodes` that rendezvous hashing gives `key` to, or the
/// empty id if there are none. A node that leaves moves only its own keys.
base::node_id choose_by_rendezvous(std::string_view key,
                                   const std::vector<base::node_id>& nodes);

/// A peer as its last heartbeat described it.
struct member {
    wire::heartbeat heartbeat;
    /// When the heartbeat came, by the receiver's monotonic clock.
    base::millis received_at = 0;
};

/// The entry instances that this one hears, itself included. Views of
/// different nodes may differ; nothing that must hold rests on them.
class member_table {
public:
    /// Constructs the table of the node `self`. A member whose heartbeats
    /// stop for `timeout` ms is dropped.
    member_table(base::node_id self, base::millis timeout);

    /// Notes a heartbeat, also the node's own. One of an earlier incarnation
    /// is ignored.
    void record_heartbeat(base::millis now, const wire::heartbeat& beat);

    /// Drops the members that have been silent for too long. Returns them.
    std::vector<base::node_id> remove_expired(base::millis now);

    /// Returns the member `node`, or null if it is not heard.
    const member* find(const base::node_id& node) const;

    /// Returns all members that are heard, in the order of their ids.
    const std::map<base::node_id, member>& all() const { return members_; }

    /// Returns the node that is home for `key`: one that is ready, or the
    /// empty id. For a key, ask with a prefix for its kind ("engine/e1").
    base::node_id home_of(std::string_view key) const;

    /// Returns true if this node is home for `key`.
    bool is_home(std::string_view key) const;

    /// Returns a number that grows each time that homes may have moved.
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
