#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::entry {

/// When a stopping node closes its servers, exits, and rejects requests. Times
/// are those of the node's clock, in ms.
class shutdown_schedule {
public:
    /// The stop signal arrived at `started_at`, and the process is killed
    /// `grace_ms` later.
    shutdown_schedule(base::millis started_at, base::millis grace_ms)
        : started_at_(started_at), grace_ms_(grace_ms) {}

    /// Returns true once the servers have to close. `handed_over` is true if
    /// another node has taken over the duties of this one.
    bool is_close_due(base::millis now, bool handed_over) const;

    /// Returns when the servers close at the latest.
    base::millis close_at() const;

    /// Returns when the process exits at the latest.
    base::millis exit_at() const;

    /// Returns true if a request that may last until `deadline` can be passed
    /// on. Late in the stop it has to end before the process does.
    bool accepts(base::millis now, base::millis deadline) const;

private:
    base::millis started_at_;
    base::millis grace_ms_;
};

} // namespace hibiscus::entry
