#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::samplers {

/// How long a load of weights lasts, by those that were seen to end.
class load_time_estimate {
public:
    /// Returns how long a load lasts until its end is reported, in ms.
    base::millis expected_ms() const;

    /// Returns after how long a load that is not reported to have ended is
    /// given up, in ms: its server may be out of reach and must not hold up
    /// the others.
    base::millis timeout_ms() const;

    /// A load lasted `ms`.
    void add_sample(base::millis ms);

private:
    /// The mean of the newest loads; 0 before the first.
    double mean_ms_ = 0;
};

} // namespace hibiscus::samplers
