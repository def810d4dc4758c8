#pragma once

#include "hibiscus/base/clock.hpp"

#include <cstdint>

namespace hibiscus::batch {

/// Observes how long a run takes for an event, with all that comes before the
/// first one.
class run_pace {
public:
    /// Called for each event of a run.
    void on_event() { ++new_events_; }

    /// Adds `elapsed_ms` in which `running` runs were at servers.
    void add_time(base::millis elapsed_ms, int running);

    /// Returns the mean time of a run for an event in ms, or 0 while too few
    /// events have been seen.
    double ms_per_event() const;

private:
    int new_events_ = 0;
    double run_ms_ = 0;
    double events_ = 0;
};

} // namespace hibiscus::batch
