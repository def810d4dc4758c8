#include "hibiscus/cluster/engine_reach.hpp"

namespace hibiscus::cluster {

namespace {

/// An engine that so many nodes cannot reach is dead. Each hand-over appends
/// an epoch to the log, and with hundreds of nodes a dead engine would visit
/// them all.
constexpr std::size_t nodes_until_dead = 3;

std::string key_of(const base::engine_id& engine) {
    return "engine/" + engine.str();
}

} // namespace

engine_reach::engine_reach(base::millis hold) : hold_(hold) {}

bool engine_reach::hear(base::millis now, const base::node_id& node,
                        const std::vector<wire::engine_digest>& digests) {
    bool changed = false;
    for (const auto& digest : digests) {
        if (!digest.reachable) {
            auto& nodes = blocked_[digest.engine];
            changed = nodes.emplace(node, now + hold_).second || changed;
            continue;
        }
        const auto at = blocked_.find(digest.engine);
        if (at != blocked_.end() && at->second.erase(node) > 0) {
            changed = true;
        }
    }
    return changed;
}

bool engine_reach::expire(base::millis now) {
    bool changed = false;
    for (auto at = blocked_.begin(); at != blocked_.end();) {
        auto& nodes = at->second;
        for (auto node = nodes.begin(); node != nodes.end();) {
            const bool over = now >= node->second;
            changed = changed || over;
            node = over ? nodes.erase(node) : std::next(node);
        }
        at = nodes.empty() ? blocked_.erase(at) : std::next(at);
    }
    return changed;
}

base::node_id engine_reach::home_of(const base::engine_id& engine,
                                    const member_table& members) const {
    const auto at = blocked_.find(engine);
    if (at == blocked_.end() || at->second.size() >= nodes_until_dead) {
        return members.home_of(key_of(engine));
    }
    std::vector<base::node_id> others;
    for (const auto& [node, row] : members.all()) {
        if (row.last.state == wire::node_state::ready &&
            at->second.count(node) == 0) {
            others.push_back(node);
        }
    }
    return others.empty() ? members.home_of(key_of(engine))
                          : rendezvous(key_of(engine), others);
}

} // namespace hibiscus::cluster
