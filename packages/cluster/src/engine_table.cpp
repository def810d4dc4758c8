#include "hibiscus/cluster/engine_table.hpp"

#include <algorithm>
#include <set>

namespace hibiscus::cluster {

int engine_entry::estimated_load() const {
    int sum = status.admitted;
    for (const auto& [trainer, count] : placed_since_status) {
        sum += count;
    }
    return sum;
}

int engine_entry::estimated_load_of(const base::trainer_id& trainer) const {
    const auto placed = placed_since_status.find(trainer);
    int sum = placed == placed_since_status.end() ? 0 : placed->second;
    for (const auto& row : status.streams) {
        sum += row.trainer == trainer ? row.admitted : 0;
    }
    return sum;
}

void engine_table::update_instances(const wire::instance_list& page) {
    std::set<base::engine_id> named;
    for (const auto& i : page.instances) {
        if (i.role != wire::instance_role::engine) {
            continue;
        }
        const base::engine_id id(i.id);
        named.insert(id);
        auto& row = engines_[id];
        row.id = id;
        row.pool = base::pool_id(i.group);
        row.zone = i.zone;
        row.address = i.address;
        row.leaving = i.state == wire::instance_state::leaving;
    }
    for (auto at = engines_.begin(); at != engines_.end();) {
        at = named.count(at->first) == 0 ? engines_.erase(at) : std::next(at);
    }
}

void engine_table::update_status(base::millis now,
                                 const wire::engine_status& digest) {
    const auto at = engines_.find(digest.engine);
    if (at == engines_.end()) {
        return;
    }
    at->second.status = digest;
    at->second.status_at = now;
    at->second.placed_since_status.clear();
}

void engine_table::note_placed(const base::engine_id& engine,
                               const base::trainer_id& trainer) {
    const auto at = engines_.find(engine);
    if (at != engines_.end()) {
        ++at->second.placed_since_status[trainer];
    }
}

void engine_table::note_ended(const base::engine_id& engine,
                              const base::trainer_id& trainer) {
    const auto at = engines_.find(engine);
    if (at != engines_.end() && at->second.estimated_load_of(trainer) > 0) {
        --at->second.placed_since_status[trainer];
    }
}

const engine_entry* engine_table::find(const base::engine_id& engine) const {
    const auto at = engines_.find(engine);
    return at == engines_.end() ? nullptr : &at->second;
}

std::vector<const engine_entry*>
engine_table::placement_candidates(const base::pool_id& pool) const {
    std::vector<const engine_entry*> rows;
    std::vector<const engine_entry*> ejected;
    for (const auto& [id, row] : engines_) {
        if (row.pool != pool || row.leaving) {
            continue;
        }
        if (row.status.healthy) {
            rows.push_back(&row);
        } else if (row.status_at > 0) {
            ejected.push_back(&row);
        }
    }
    // A network fault of a node, not of its engines, makes many look dead at
    // once; without a limit the steps would stand still for it. The engine's
    // home still refuses what it cannot start.
    std::stable_sort(ejected.begin(), ejected.end(),
                     [](const engine_entry* a, const engine_entry* b) {
                         return a->status_at > b->status_at;
                     });
    const auto known = rows.size() + ejected.size();
    for (auto at = ejected.begin(); rows.size() * 2 < known; ++at) {
        rows.push_back(*at);
    }
    return rows;
}

} // namespace hibiscus::cluster
