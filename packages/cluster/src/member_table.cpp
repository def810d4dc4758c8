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
                                    const wire::heartbeat& heartbeat) {
    auto& member = members_[heartbeat.node];
    // A heartbeat of an earlier process at this address may still be in flight;
    // its state is out of date.
    if (heartbeat.incarnation < member.heartbeat.incarnation) {
        return;
    }
    const bool state_changed = member.heartbeat.node.empty() ||
                               member.heartbeat.state != heartbeat.state;
    member.heartbeat = heartbeat;
    member.received_at = now;
    if (state_changed) {
        update_ready_nodes();
    }
}

std::vector<base::node_id> member_table::remove_expired(base::millis now) {
    std::vector<base::node_id> removed;
    for (auto it = members_.begin(); it != members_.end();) {
        const bool timed_out = now - it->second.received_at > timeout_;
        if (timed_out && it->first != self_) {
            removed.push_back(it->first);
            it = members_.erase(it);
        } else {
            ++it;
        }
    }
    if (!removed.empty()) {
        update_ready_nodes();
    }
    return removed;
}

const member* member_table::find(const base::node_id& node) const {
    const auto it = members_.find(node);
    return it == members_.end() ? nullptr : &it->second;
}

base::node_id member_table::home_of(std::string_view key) const {
    return choose_by_rendezvous(key, ready_nodes_);
}

bool member_table::is_home(std::string_view key) const {
    return home_of(key) == self_;
}

void member_table::update_ready_nodes() {
    ready_nodes_.clear();
    for (const auto& [node, member] : members_) {
        if (member.heartbeat.state == wire::node_state::ready) {
            ready_nodes_.push_back(node);
        }
    }
    ++generation_;
}

} // namespace hibiscus::cluster
