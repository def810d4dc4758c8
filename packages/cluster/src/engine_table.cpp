#include "hibiscus/cluster/engine_table.hpp"

#include <algorithm>
#include <set>

namespace hibiscus::cluster {

int engine_entry::estimated_load() const {
    int sum = status.admitted;
    for (const auto& [trainer, count] : change_since_status) {
        sum += count;
    }
    return sum;
}

int engine_entry::estimated_load_of(const base::trainer_id& trainer) const {
    const auto placed = change_since_status.find(trainer);
    int sum = placed == change_since_status.end() ? 0 : placed->second;
    for (const auto& stream : status.streams) {
        sum += stream.trainer == trainer ? stream.admitted : 0;
    }
    return sum;
}

void engine_table::update_instances(const wire::instance_list& instances) {
    std::set<base::engine_id> listed;
    for (const auto& instance : instances.instances) {
        if (instance.role != wire::instance_role::engine) {
            continue;
        }
        const base::engine_id id(instance.id);
        listed.insert(id);
        auto& engine = engines_[id];
        engine.id = id;
        engine.pool = base::pool_id(instance.group);
        engine.zone = instance.zone;
        engine.address = instance.address;
        engine.leaving = instance.state == wire::instance_state::leaving;
    }
    for (auto it = engines_.begin(); it != engines_.end();) {
        it = listed.count(it->first) == 0 ? engines_.erase(it) : std::next(it);
    }
}

void engine_table::update_status(base::millis now,
                                 const wire::engine_status& status) {
    const auto it = engines_.find(status.engine);
    if (it == engines_.end()) {
        return;
    }
    it->second.status = status;
    it->second.status_at = now;
    it->second.change_since_status.clear();
}

void engine_table::note_placed(const base::engine_id& engine,
                               const base::trainer_id& trainer) {
    const auto it = engines_.find(engine);
    if (it != engines_.end()) {
        ++it->second.change_since_status[trainer];
    }
}

void engine_table::note_ended(const base::engine_id& engine,
                              const base::trainer_id& trainer) {
    const auto it = engines_.find(engine);
    if (it != engines_.end() && it->second.estimated_load_of(trainer) > 0) {
        --it->second.change_since_status[trainer];
    }
}

const engine_entry* engine_table::find(const base::engine_id& engine) const {
    const auto it = engines_.find(engine);
    return it == engines_.end() ? nullptr : &it->second;
}

std::vector<const engine_entry*>
engine_table::placement_candidates(const base::pool_id& pool) const {
    std::vector<const engine_entry*> candidates;
    std::vector<const engine_entry*> ejected;
    for (const auto& [id, engine] : engines_) {
        if (engine.pool != pool || engine.leaving) {
            continue;
        }
        if (engine.status.healthy) {
            candidates.push_back(&engine);
        } else if (engine.status_at > 0) {
            ejected.push_back(&engine);
        }
    }
    // A network fault of a node, not of its engines, makes many engines look
    // unhealthy at once, and without a limit on ejections the steps would
    // stall. The home node of an engine still refuses streams that it cannot
    // start.
    std::stable_sort(ejected.begin(), ejected.end(),
                     [](const engine_entry* a, const engine_entry* b) {
                         return a->status_at > b->status_at;
                     });
    const auto known = candidates.size() + ejected.size();
    for (auto it = ejected.begin(); candidates.size() * 2 < known; ++it) {
        candidates.push_back(*it);
    }
    return candidates;
}

} // namespace hibiscus::cluster
