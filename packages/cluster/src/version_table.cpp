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
    const auto it = newest_.find(trainer);
    return it == newest_.end() ? 0 : it->second.version;
}

base::millis version_table::updated_at(const base::trainer_id& trainer) const {
    const auto it = newest_.find(trainer);
    return it == newest_.end() ? 0 : it->second.updated_at;
}

std::vector<wire::trainer_version> version_table::all() const {
    std::vector<wire::trainer_version> versions;
    versions.reserve(newest_.size());
    for (const auto& [trainer, known] : newest_) {
        versions.push_back({trainer, known.version});
    }
    return versions;
}

} // namespace hibiscus::cluster
