#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::samplers {

/// Estimates how long a server takes to load weights, from the loads that have
/// ended.
class load_time_estimate {
public:
    /// Returns the expected time from the start of a load until its end is
    /// reported, in ms.
    base::millis expected_ms() const;

    /// Returns the time after which a load whose end was not reported no longer
    /// counts, in ms. Its server may be unreachable and must not block the
    /// loads of other servers.
    base::millis timeout_ms() const;

    /// Adds a load that took `ms`.
    void add_sample(base::millis ms);

private:
    /// Running mean; 0 before the first load.
    double mean_ms_ = 0;
};

} // namespace hibiscus::samplers
