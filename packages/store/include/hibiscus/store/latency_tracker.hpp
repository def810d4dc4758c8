#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::store {

/// Tracks the store's recent response latency, without the time that a call
/// asks the store to wait.
class latency_tracker {
public:
    /// Returns how long after its expected response a call is overdue, in ms.
    /// An overdue call suggests that the store is unreachable.
    base::millis overdue_threshold_ms() const;

    /// Records that a call was served `ms` after its earliest possible
    /// response.
    void record_latency(base::millis ms);

private:
    /// Decaying maximum of the recent latencies, in ms; negative before the
    /// first call.
    double peak_latency_ms_ = -1;
};

} // namespace hibiscus::store
