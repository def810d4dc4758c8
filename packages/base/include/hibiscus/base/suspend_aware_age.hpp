#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::base {

/// The age of the latest moment at which something was known, by the monotonic
/// clock, but including the time for which the machine was suspended since.
class suspend_aware_age {
public:
    /// Returns the age of `moment`, which never goes back, in ms.
    millis update(millis moment, const clock& source) {
        return update(moment, source.now(), source.boot_time());
    }

    /// The same for given readings of the monotonic clock and the boot clock.
    millis update(millis moment, millis now, millis boot);

private:
    /// By how much the boot clock was ahead at the last call.
    millis boot_lead_ = 0;
    bool has_boot_lead_ = false;
    /// When the last suspend was noticed, and the time suspended since moments
    /// before it.
    millis resumed_at_ = 0;
    millis suspended_ms_ = 0;
};

} // namespace hibiscus::base
