#include "hibiscus/cluster/member_table.hpp"

#include "hibiscus/base/hash.hpp"

namespace hibiscus::cluster {

base::node_id choose_by_rendezvous(std::string_view key,
                                   const std::vector<base::node_id>& nodes) {
    base::node_id best;
    std::uint64_t best_score = 0;
    const auto seed = base::stable_hash(key);
    for (const auto& node : nodes) {
        const auto score = base::stable_hash(node.str(), seed);
        if (best.empty() || score > best_score) {
            best = node;
            best_score = score;
        }
    }
    return best;
}

member_table::member_table(base::node_id self, base::millis timeout)
    : self_(std::move(self)), timeout_(timeout) {}

void member_table::record_heartbeat(base::millis now,
                                    const wire::heartbeat& beat) {
    auto& row = members_[beat.node];
    // A heartbeat of the process that this address had before may still be on
    // its way; it would bring back a state that is over.
    if (beat.incarnation < row.heartbeat.incarnation) {
        return;
    }
    const bool moved =
        row.heartbeat.node.empty() || row.heartbeat.state != beat.state;
    row.heartbeat = beat;
    row.received_at = now;
    if (moved) {
        update_ready_nodes();
    }
}

std::vector<base::node_id> member_table::remove_expired(base::millis now) {
    std::vector<base::node_id> gone;
    for (auto at = members_.begin(); at != members_.end();) {
        const bool silent = now - at->second.received_at > timeout_;
        if (silent && at->first != self_) {
            gone.push_back(at->first);
            at = members_.erase(at);
        } else {
            ++at;
        }
    }
    if (!gone.empty()) {
        update_ready_nodes();
    }
    return gone;
}

const member* member_table::find(const base::node_id& node) const {
    const auto at = members_.find(node);
    return at == members_.end() ? nullptr : &at->second;
}

base::node_id member_table::home_of(std::string_view key) const {
    return choose_by_rendezvous(key, ready_nodes_);
}

bool member_table::is_home(std::string_view key) const {
    return home_of(key) == self_;
}

void member_table::update_ready_nodes() {
    ready_nodes_.clear();
    for (const auto& [node, row] : members_) {
        if (row.heartbeat.state == wire::node_state::ready) {
            ready_nodes_.push_back(node);
        }
    }
    ++generation_;
}

} // namespace hibiscus::cluster
