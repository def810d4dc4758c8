#pragma once

#include "hibiscus/wire/peer.hpp"

#include <map>
#include <vector>

namespace hibiscus::cluster {

/// The newest weight version of each trainer that this node knows. Versions
/// only grow, so nodes that exchange them agree without any order.
class version_table {
public:
    /// Notes a version. Returns true if it is newer than the one known.
    bool update(base::millis now, const base::trainer_id& trainer,
                wire::weight_version version);

    /// Returns the newest version known, 0 if there is none.
    wire::weight_version newest(const base::trainer_id& trainer) const;

    /// Returns when the newest version became known, 0 if there is none.
    base::millis updated_at(const base::trainer_id& trainer) const;

    /// Returns all newest versions, in the order of the trainers.
    std::vector<wire::trainer_version> all() const;

private:
    struct known_version {
        wire::weight_version version = 0;
        base::millis updated_at = 0;
    };

    std::map<base::trainer_id, known_version> newest_;
};

} // namespace hibiscus::cluster
