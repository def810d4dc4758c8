#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::store {

/// How long the store takes to answer, besides what a call asks it to wait, by
/// the calls that it served lately.
class latency_tracker {
public:
    /// Returns after how long without an answer a call is a sign that the
    /// store is out of reach, in ms.
    base::millis overdue_threshold_ms() const;

    /// A call was served `ms` after it was due at the earliest.
    void record_latency(base::millis ms);

private:
    /// The longest of the newest answers, in ms; below 0 before the first.
    double peak_latency_ms_ = -1;
};

} // namespace hibiscus::store
