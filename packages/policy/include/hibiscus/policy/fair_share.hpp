#pragma once

#include "hibiscus/base/ids.hpp"
#include "hibiscus/document/document.hpp"

#include <map>
#include <vector>

namespace hibiscus::policy {

/// What a trainer has of a pool.
struct pool_use {
    base::trainer_id trainer;
    /// The trainer's weight times its owner's.
    double weight = 1.0;
    /// Streams that engines of the pool have admitted for it.
    int admitted = 0;
};

/// Returns the weight of `trainer` against the others of its pool.
double weight_of(const document::document& document,
                 const document::trainer& trainer);

/// How many of a pool's streams are a trainer's.
struct fair_shares {
    /// Its share among all trainers that the document names for the pool.
    double guaranteed = 0;
    /// Its share among those that use the pool now; never less.
    double present = 0;
};

/// Returns the shares of `trainer` in a pool that takes `capacity` streams.
fair_shares shares_of(const std::vector<pool_use>& uses,
                      const base::trainer_id& trainer, int capacity);

/// Returns how many streams an engine with `slots` slots and room for `queue`
/// more takes of a trainer that has `admitted` of the pool's streams. Queues
/// are for trainers below their shares. One above it still gets every slot
/// that nobody else uses, and one above its guaranteed share leaves a place
/// in each queue, so that a trainer that comes late finds room and counts.
int capacity_for(int admitted, const fair_shares& shares, int slots, int queue);

} // namespace hibiscus::policy
