#include "hibiscus/cluster/engine_table.hpp"

#include <algorithm>
#include <set>

namespace hibiscus::cluster {

int engine_row::load() const {
    int sum = digest.admitted;
    for (const auto& [trainer, count] : placed_since) {
        sum += count;
    }
    return sum;
}

int engine_row::load_of(const base::trainer_id& trainer) const {
    const auto placed = placed_since.find(trainer);
    int sum = placed == placed_since.end() ? 0 : placed->second;
    for (const auto& row : digest.streams) {
        sum += row.trainer == trainer ? row.admitted : 0;
    }
    return sum;
}

void engine_table::update(const wire::instance_page& page) {
    std::set<base::engine_id> named;
    for (const auto& i : page.instances) {
        if (i.role != wire::instance_role::engine) {
            continue;
        }
        const base::engine_id id(i.id);
        named.insert(id);
        auto& row = rows_[id];
        row.id = id;
        row.pool = base::pool_id(i.group);
        row.zone = i.zone;
        row.address = i.address;
        row.leaving = i.state == wire::instance_state::leaving;
    }
    for (auto at = rows_.begin(); at != rows_.end();) {
        at = named.count(at->first) == 0 ? rows_.erase(at) : std::next(at);
    }
}

void engine_table::hear(base::millis now, const wire::engine_digest& digest) {
    const auto at = rows_.find(digest.engine);
    if (at == rows_.end()) {
        return;
    }
    at->second.digest = digest;
    at->second.digest_at = now;
    at->second.placed_since.clear();
}

void engine_table::note_placed(const base::engine_id& engine,
                               const base::trainer_id& trainer) {
    const auto at = rows_.find(engine);
    if (at != rows_.end()) {
        ++at->second.placed_since[trainer];
    }
}

void engine_table::note_ended(const base::engine_id& engine,
                              const base::trainer_id& trainer) {
    const auto at = rows_.find(engine);
    if (at != rows_.end() && at->second.load_of(trainer) > 0) {
        --at->second.placed_since[trainer];
    }
}

const engine_row* engine_table::find(const base::engine_id& engine) const {
    const auto at = rows_.find(engine);
    return at == rows_.end() ? nullptr : &at->second;
}

std::vector<const engine_row*>
engine_table::usable(const base::pool_id& pool) const {
    std::vector<const engine_row*> rows;
    std::vector<const engine_row*> ejected;
    for (const auto& [id, row] : rows_) {
        if (row.pool != pool || row.leaving) {
            continue;
        }
        if (row.digest.healthy) {
            rows.push_back(&row);
        } else if (row.digest_at > 0) {
            ejected.push_back(&row);
        }
    }
    // A network fault of a node, not of its engines, makes many look dead at
    // once; without a limit the steps would stand still for it. The engine's
    // home still refuses what it cannot start.
    std::stable_sort(ejected.begin(), ejected.end(),
                     [](const engine_row* a, const engine_row* b) {
                         return a->digest_at > b->digest_at;
                     });
    const auto known = rows.size() + ejected.size();
    for (auto at = ejected.begin(); rows.size() * 2 < known; ++at) {
        rows.push_back(*at);
    }
    return rows;
}

} // namespace hibiscus::cluster
