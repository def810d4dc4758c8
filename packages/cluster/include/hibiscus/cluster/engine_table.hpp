#pragma once

#include "hibiscus/wire/peer.hpp"

#include <map>
#include <string>
#include <vector>

namespace hibiscus::cluster {

/// An engine as this node sees it: from the instance list, from the digests
/// of its home, and from what this node has placed on it since.
struct engine_entry {
    base::engine_id id;
    base::pool_id pool;
    base::zone_id zone;
    std::string address;
    /// True if the instance list names it as leaving.
    bool leaving = false;
    /// The last digest of its home.
    wire::engine_status status;
    base::millis status_at = 0;
    /// Streams that this node has placed since the digest, less those that it
    /// has seen end since, by trainer.
    std::map<base::trainer_id, int> placed_since_status;

    /// Returns the best estimate of the streams at the engine.
    int estimated_load() const;

    /// Returns the best estimate of a trainer's streams at the engine.
    int estimated_load_of(const base::trainer_id& trainer) const;
};

/// The engines that the instance list names.
class engine_table {
public:
    /// Takes over a page of the instance list. Engines that it lacks are
    /// dropped.
    void update_instances(const wire::instance_list& page);

    /// Notes what an engine's home says of it.
    void update_status(base::millis now, const wire::engine_status& digest);

    /// Notes that this node has placed a stream of `trainer` on `engine`.
    void note_placed(const base::engine_id& engine,
                     const base::trainer_id& trainer);

    /// Notes that a stream of `trainer` that this node had placed on `engine`
    /// has ended.
    void note_ended(const base::engine_id& engine,
                    const base::trainer_id& trainer);

    /// Returns the engine, or null if the list does not name it.
    const engine_entry* find(const base::engine_id& engine) const;

    /// Returns the engines of a pool that may get new work: the healthy ones
    /// by their ids, and others until it is half of those that were heard of.
    std::vector<const engine_entry*>
    placement_candidates(const base::pool_id& pool) const;

    /// Returns all engines by their ids.
    const std::map<base::engine_id, engine_entry>& all() const {
        return engines_;
    }

private:
    std::map<base::engine_id, engine_entry> engines_;
};

} // namespace hibiscus::cluster
