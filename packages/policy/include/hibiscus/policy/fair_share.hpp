#pragma once

#include "hibiscus/base/ids.hpp"
#include "hibiscus/document/document.hpp"

#include <map>
#include <vector>

namespace hibiscus::policy {

/// What a trainer has of a pool.
struct pool_usage {
    base::trainer_id trainer;
    /// The trainer's weight times its owner's.
    double weight = 1.0;
    /// Streams that engines of the pool have admitted for it.
    int admitted_streams = 0;
};

/// Returns the weight of `trainer` against the others of its pool.
double effective_weight(const document::document& document,
                        const document::trainer& trainer);

/// How many of a pool's streams are a trainer's.
struct fair_shares {
    /// Its share among all trainers that the document names for the pool.
    double guaranteed = 0;
    /// Its share among those that use the pool now; never less.
    double active = 0;
};

/// Returns the shares of `trainer` in a pool that takes `capacity` streams.
fair_shares compute_shares(const std::vector<pool_usage>& uses,
                           const base::trainer_id& trainer, int capacity);

/// Returns how many streams an engine with `slots` slots and room for `queue`
/// more takes of a trainer that has `admitted` of the pool's streams. Queues
/// are for trainers below their shares. One above it still gets every slot
/// that nobody else uses, and one above its guaranteed share leaves a place
/// in each queue, so that a trainer that comes late finds room and counts.
int stream_limit(int admitted, const fair_shares& shares, int slots, int queue);

} // namespace hibiscus::policy
