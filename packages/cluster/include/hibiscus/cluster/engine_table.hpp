#pragma once

#include "hibiscus/wire/peer.hpp"

#include <map>
#include <string>
#include <vector>

namespace hibiscus::cluster {

/// An engine as this node knows it: from the instance list, from the last
/// status reported by its home node, and from the streams that this node has
/// placed on it since then.
struct engine_entry {
    base::engine_id id;
    base::pool_id pool;
    base::zone_id zone;
    std::string address;
    /// True if the instance list marks the engine as leaving.
    bool leaving = false;
    /// The last status reported by the engine's home node.
    wire::engine_status status;
    base::millis status_at = 0;
    /// By trainer, the change of the number of streams since the last status:
    /// streams that this node placed minus those that ended. May be negative.
    std::map<base::trainer_id, int> change_since_status;

    /// Returns the estimated number of streams at the engine.
    int estimated_load() const;

    /// Returns the estimated number of a trainer's streams at the engine.
    int estimated_load_of(const base::trainer_id& trainer) const;
};

/// The engines of the instance list.
class engine_table {
public:
    /// Replaces the engines with those of `instances`.
    void update_instances(const wire::instance_list& instances);

    /// Records the status that an engine's home node reported.
    void update_status(base::millis now, const wire::engine_status& status);

    /// Records that this node has placed a stream of `trainer` on `engine`.
    void note_placed(const base::engine_id& engine,
                     const base::trainer_id& trainer);

    /// Records that a stream of `trainer` that this node had placed on `engine`
    /// has ended.
    void note_ended(const base::engine_id& engine,
                    const base::trainer_id& trainer);

    /// Returns the engine, or null if the instance list does not contain it.
    const engine_entry* find(const base::engine_id& engine) const;

    /// Returns the engines of a pool that may receive new streams: the healthy
    /// ones ordered by id, followed by unhealthy ones until the result holds at
    /// least half of the engines whose status is known.
    std::vector<const engine_entry*>
    placement_candidates(const base::pool_id& pool) const;

    /// Returns all engines, ordered by id.
    const std::map<base::engine_id, engine_entry>& all() const {
        return engines_;
    }

private:
    std::map<base::engine_id, engine_entry> engines_;
};

} // namespace hibiscus::cluster
