#include "hibiscus/cluster/engine_reachability.hpp"

namespace hibiscus::cluster {

namespace {

/// An engine that so many nodes cannot reach is dead. Each hand-over appends
/// an epoch to the log, and with hundreds of nodes a dead engine would visit
/// them all.
constexpr std::size_t unreachable_nodes_until_dead = 3;

std::string home_key_of(const base::engine_id& engine) {
    return "engine/" + engine.str();
}

} // namespace

engine_reachability::engine_reachability(base::millis hold) : hold_ms_(hold) {}

bool engine_reachability::update(
    base::millis now, const base::node_id& node,
    const std::vector<wire::engine_status>& digests) {
    bool changed = false;
    for (const auto& digest : digests) {
        if (!digest.reachable) {
            auto& nodes = unreachable_from_[digest.engine];
            changed = nodes.emplace(node, now + hold_ms_).second || changed;
            continue;
        }
        const auto at = unreachable_from_.find(digest.engine);
        if (at != unreachable_from_.end() && at->second.erase(node) > 0) {
            changed = true;
        }
    }
    return changed;
}

bool engine_reachability::remove_expired(base::millis now) {
    bool changed = false;
    for (auto at = unreachable_from_.begin(); at != unreachable_from_.end();) {
        auto& nodes = at->second;
        for (auto node = nodes.begin(); node != nodes.end();) {
            const bool over = now >= node->second;
            changed = changed || over;
            node = over ? nodes.erase(node) : std::next(node);
        }
        at = nodes.empty() ? unreachable_from_.erase(at) : std::next(at);
    }
    return changed;
}

base::node_id engine_reachability::home_of(const base::engine_id& engine,
                                           const member_table& members) const {
    const auto at = unreachable_from_.find(engine);
    if (at == unreachable_from_.end() ||
        at->second.size() >= unreachable_nodes_until_dead) {
        return members.home_of(home_key_of(engine));
    }
    std::vector<base::node_id> others;
    for (const auto& [node, row] : members.all()) {
        if (row.heartbeat.state == wire::node_state::ready &&
            at->second.count(node) == 0) {
            others.push_back(node);
        }
    }
    return others.empty() ? members.home_of(home_key_of(engine))
                          : choose_by_rendezvous(home_key_of(engine), others);
}

} // namespace hibiscus::cluster
