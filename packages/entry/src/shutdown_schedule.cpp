#include "shutdown_schedule.hpp"

#include <algorithm>

namespace hibiscus::entry {

namespace {

/// Minimum time for which a node still serves requests after SIGTERM, in ms.
/// Callers cache a response of the directory for two seconds, and some connect
/// a little later.
constexpr base::millis min_serving_ms = 3000;

/// Time after SIGTERM in which requests are accepted however long they may
/// take, in ms: as long as callers are directed to the node. Most requests end
/// long before their deadlines.
constexpr base::millis directed_ms = 2500;

/// Part of the grace period that is reserved for the exit of the process, in
/// ms.
constexpr base::millis exit_margin_ms = 1200;

/// Time before the exit at which the servers stop listening and close idle
/// connections at the latest, in ms. It is longer than most requests take.
constexpr base::millis close_before_exit_ms = 2000;

} // namespace

bool shutdown_schedule::is_close_due(base::millis now, bool handed_over) const {
    return now >= close_at() ||
           (handed_over && now - started_at_ >= min_serving_ms);
}

base::millis shutdown_schedule::close_at() const {
    return exit_at() - close_before_exit_ms;
}

base::millis shutdown_schedule::exit_at() const {
    return started_at_ + grace_ms_ - exit_margin_ms;
}

bool shutdown_schedule::accepts(base::millis now, base::millis deadline) const {
    return now < std::min(started_at_ + directed_ms, close_at()) ||
           deadline < exit_at();
}

} // namespace hibiscus::entry
