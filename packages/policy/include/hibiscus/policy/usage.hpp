#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/ids.hpp"

#include <map>
#include <vector>

namespace hibiscus::policy {

/// The slots and streams of an engine at one moment.
struct engine_usage {
    base::engine_id engine;
    /// The owner who pays for the engine.
    base::owner_id owner;
    int slots = 0;
    /// Running streams, by the owner of their trainer.
    std::map<base::owner_id, int> running;
    /// Streams queued at the engine, by the owner of their trainer.
    std::map<base::owner_id, int> queued;
};

/// The slot time of an owner, in slot milliseconds.
struct owner_usage {
    /// Time of slots that ran the owner's streams.
    double used_ms = 0;
    /// Time of idle slots of the owner's engines.
    double idle_ms = 0;
    /// The part of idle_ms during which streams were queued at another engine
    /// whose home is this node and could have run here.
    double idle_while_queued_ms = 0;
    /// Time that the owner's streams were queued at engines.
    double queued_ms = 0;
};

/// Accumulates the slot time of engines by owner. The totals are kept in memory
/// only and start at zero when a node restarts.
class usage_meter {
public:
    /// Adds the time since the last call, assuming that the usage did not
    /// change during it. An interval of more than `max_interval_ms` is not
    /// charged, because nothing was observed during it.
    void add_interval(base::millis now,
                      const std::vector<engine_usage>& engines,
                      base::millis max_interval_ms = 1000);

    const std::map<base::owner_id, owner_usage>& owners() const {
        return owners_;
    }

private:
    void charge(double ms, const engine_usage& engine, int queued_elsewhere);

    std::map<base::owner_id, owner_usage> owners_;
    base::millis last_added_at_ = 0;
};

} // namespace hibiscus::policy
