#include "hibiscus/cluster/version_table.hpp"

namespace hibiscus::cluster {

bool version_table::learn(const base::trainer_id& trainer,
                          wire::weight_version version) {
    auto& known = newest_[trainer];
    if (version <= known) {
        return false;
    }
    known = version;
    return true;
}

wire::weight_version
version_table::newest(const base::trainer_id& trainer) const {
    const auto at = newest_.find(trainer);
    return at == newest_.end() ? 0 : at->second;
}

std::vector<wire::trainer_version> version_table::all() const {
    std::vector<wire::trainer_version> rows;
    rows.reserve(newest_.size());
    for (const auto& [trainer, version] : newest_) {
        rows.push_back({trainer, version});
    }
    return rows;
}

} // namespace hibiscus::cluster
