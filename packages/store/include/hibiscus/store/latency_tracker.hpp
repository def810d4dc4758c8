#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::store {

/// Tracks the store's recent response latency, without the time that a call
/// asks the store to wait.
class latency_tracker {
public:
    /// Returns how long after its expected time, which is the send time plus
    /// the wait at the store, a response is overdue, in ms. An overdue response
    /// suggests that the store is unreachable.
    base::millis overdue_threshold_ms() const;

    /// Records that a response arrived `ms` after its expected time.
    void record_latency(base::millis ms);

private:
    /// Decaying maximum of the recent latencies, in ms; negative before the
    /// first call.
    double peak_latency_ms_ = -1;
};

} // namespace hibiscus::store
