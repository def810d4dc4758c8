#include "hibiscus/cluster/engine_reachability.hpp"

namespace hibiscus::cluster {

namespace {

/// An engine that this many nodes cannot reach is considered dead and is not
/// moved any further. Each handover appends an epoch to the log, and with
/// hundreds of nodes a dead engine would be handed to all of them.
constexpr std::size_t unreachable_nodes_until_dead = 3;

std::string home_key_of(const base::engine_id& engine) {
    return "engine/" + engine.str();
}

} // namespace

engine_reachability::engine_reachability(base::millis report_lifetime)
    : report_lifetime_ms_(report_lifetime) {}

bool engine_reachability::update(
    base::millis now, const base::node_id& node,
    const std::vector<wire::engine_status>& statuses) {
    bool changed = false;
    for (const auto& status : statuses) {
        if (!status.reachable) {
            auto& nodes = unreachable_from_[status.engine];
            changed = nodes.emplace(node, now + report_lifetime_ms_).second ||
                      changed;
            continue;
        }
        const auto it = unreachable_from_.find(status.engine);
        if (it != unreachable_from_.end() && it->second.erase(node) > 0) {
            changed = true;
        }
    }
    return changed;
}

bool engine_reachability::remove_expired(base::millis now) {
    bool changed = false;
    for (auto it = unreachable_from_.begin(); it != unreachable_from_.end();) {
        auto& nodes = it->second;
        for (auto node = nodes.begin(); node != nodes.end();) {
            const bool expired = now >= node->second;
            changed = changed || expired;
            node = expired ? nodes.erase(node) : std::next(node);
        }
        it = nodes.empty() ? unreachable_from_.erase(it) : std::next(it);
    }
    return changed;
}

base::node_id engine_reachability::home_of(const base::engine_id& engine,
                                           const member_table& members) const {
    const auto it = unreachable_from_.find(engine);
    if (it == unreachable_from_.end() ||
        it->second.size() >= unreachable_nodes_until_dead) {
        return members.home_of(home_key_of(engine));
    }
    std::vector<base::node_id> candidates;
    for (const auto& [node, member] : members.all()) {
        if (member.heartbeat.state == wire::node_state::ready &&
            it->second.count(node) == 0) {
            candidates.push_back(node);
        }
    }
    return candidates.empty()
               ? members.home_of(home_key_of(engine))
               : choose_by_rendezvous(home_key_of(engine), candidates);
}

} // namespace hibiscus::cluster
