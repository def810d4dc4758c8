#pragma once

#include "hibiscus/wire/peer.hpp"

#include <map>
#include <vector>

namespace hibiscus::cluster {

/// The newest weight version of each trainer that this node knows. Versions
/// only grow, so nodes that exchange them converge regardless of the order of
/// messages.
class version_table {
public:
    /// Records a version. Returns true if it is newer than the known one.
    bool update(base::millis now, const base::trainer_id& trainer,
                wire::weight_version version);

    /// Returns the newest known version, or 0 if there is none.
    wire::weight_version newest(const base::trainer_id& trainer) const;

    /// Returns the time at which the newest version became known, or 0 if there
    /// is none.
    base::millis updated_at(const base::trainer_id& trainer) const;

    /// Returns the newest version of each trainer, ordered by trainer.
    std::vector<wire::trainer_version> all() const;

private:
    struct known_version {
        wire::weight_version version = 0;
        base::millis updated_at = 0;
    };

    std::map<base::trainer_id, known_version> newest_;
};

} // namespace hibiscus::cluster
