#pragma once

#include "hibiscus/base/ids.hpp"
#include "hibiscus/document/document.hpp"

#include <map>
#include <vector>

namespace hibiscus::policy {

/// A trainer's use of a pool.
struct pool_usage {
    base::trainer_id trainer;
    /// The weight of the trainer times the weight of its owner.
    double weight = 1.0;
    /// Streams of the trainer that engines of the pool have admitted.
    int admitted_streams = 0;
};

/// Returns the weight of `trainer` times the weight of its owner. It decides
/// the trainer's share of the pool.
double effective_weight(const document::document& document,
                        const document::trainer& trainer);

/// The shares of a trainer in a pool, in streams.
struct fair_shares {
    /// Its share among all trainers that the configuration document lists for
    /// the pool.
    double guaranteed = 0;
    /// Its share among the trainers that use the pool now; never less than the
    /// guaranteed one.
    double active = 0;
};

/// Returns the shares of `trainer` in a pool that takes `capacity` streams, or
/// zeros if it has no weight in `usages`.
fair_shares compute_shares(const std::vector<pool_usage>& usages,
                           const base::trainer_id& trainer, int capacity);

/// Returns the limit of an engine's streams, running and queued, for one more
/// stream of a trainer: the engine admits it while it has fewer. The trainer
/// already has `admitted` streams in the pool; the engine has `slots` slots and
/// a queue for `queue` streams. Queues are for trainers below their shares. A
/// trainer above its share still gets every slot that nobody else uses. A
/// trainer above its guaranteed share leaves one position of each queue free,
/// so that a trainer that starts later finds room and counts as active.
int stream_limit(int admitted, const fair_shares& shares, int slots, int queue);

} // namespace hibiscus::policy
