#include "hibiscus/cluster/engine_table.hpp"

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

const engine_row* engine_table::find(const base::engine_id& engine) const {
    const auto at = rows_.find(engine);
    return at == rows_.end() ? nullptr : &at->second;
}

std::vector<const engine_row*>
engine_table::usable(const base::pool_id& pool) const {
    std::vector<const engine_row*> rows;
    for (const auto& [id, row] : rows_) {
        if (row.pool == pool && !row.leaving && row.digest.healthy) {
            rows.push_back(&row);
        }
    }
    return rows;
}

} // namespace hibiscus::cluster
