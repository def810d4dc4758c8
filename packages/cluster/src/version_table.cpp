#include "hibiscus/cluster/version_table.hpp"

namespace hibiscus::cluster {

bool version_table::update(base::millis now, const base::trainer_id& trainer,
                           wire::weight_version version) {
    auto& known = newest_[trainer];
    if (version <= known.version) {
        return false;
    }
    known = {version, now};
    return true;
}

wire::weight_version
version_table::newest(const base::trainer_id& trainer) const {
    const auto at = newest_.find(trainer);
    return at == newest_.end() ? 0 : at->second.version;
}

base::millis version_table::updated_at(const base::trainer_id& trainer) const {
    const auto at = newest_.find(trainer);
    return at == newest_.end() ? 0 : at->second.updated_at;
}

std::vector<wire::trainer_version> version_table::all() const {
    std::vector<wire::trainer_version> rows;
    rows.reserve(newest_.size());
    for (const auto& [trainer, row] : newest_) {
        rows.push_back({trainer, row.version});
    }
    return rows;
}

} // namespace hibiscus::cluster
