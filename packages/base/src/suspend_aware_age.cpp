#include "hibiscus/base/suspend_aware_age.hpp"

#include <utility>

namespace hibiscus::base {

namespace {

/// The two clocks are read one after the other; a smaller difference than this
/// is no suspend.
constexpr millis min_suspend_ms = 20;

} // namespace

millis suspend_aware_age::update(millis moment, millis now, millis boot) {
    const auto lead = boot - now;
    if (!std::exchange(has_boot_lead_, true)) {
        boot_lead_ = lead;
    }
    const auto gained = lead - boot_lead_;
    const bool is_older = moment < resumed_at_;
    if (gained >= min_suspend_ms) {
        suspended_ms_ = gained + (is_older ? suspended_ms_ : 0);
        resumed_at_ = now;
        boot_lead_ = lead;
    }
    return now - moment + (moment < resumed_at_ ? suspended_ms_ : 0);
}

} // namespace hibiscus::base
