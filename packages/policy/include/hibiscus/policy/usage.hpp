#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/ids.hpp"

#include <map>
#include <vector>

namespace hibiscus::policy {

/// What an engine does at a time.
struct engine_usage {
    base::engine_id engine;
    /// Who pays for the engine.
    base::owner_id owner;
    int slots = 0;
    /// Running streams, by the owner of their trainer.
    std::map<base::owner_id, int> running;
    /// Streams that wait at the engine, by the owner of their trainer.
    std::map<base::owner_id, int> queued;
};

/// What an owner has used, in slot milliseconds.
struct owner_usage {
    /// Slots that ran the owner's streams.
    double used_ms = 0;
    /// Slots of the owner's engines that ran nothing.
    double idle_ms = 0;
    /// The part of idle_ms during which streams waited at another engine of
    /// this node: work that could have run there.
    double idle_while_queued_ms = 0;
    /// Time that the owner's streams waited at engines.
    double queued_ms = 0;
};

/// Adds up the slot time of engines by owner. Kept in memory only: a node that
/// restarts begins at zero.
class usage_meter {
public:
    /// Adds the time since the last call, as if engines had done all the while
    /// what they do now. A gap of more than `longest` ms is not charged,
    /// because nobody saw it.
    void add_interval(base::millis now,
                      const std::vector<engine_usage>& engines,
                      base::millis longest = 1000);

    /// Returns the usage of each owner.
    const std::map<base::owner_id, owner_usage>& owners() const {
        return owners_;
    }

private:
    void charge(double ms, const engine_usage& engine, int queued_elsewhere);

    std::map<base::owner_id, owner_usage> owners_;
    base::millis last_added_at_ = 0;
};

} // namespace hibiscus::policy
