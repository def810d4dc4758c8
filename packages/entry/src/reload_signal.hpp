#pragma once

#include <csignal>

namespace hibiscus::entry {

/// Blocks or unblocks SIGHUP. While the process has no handler for it, at its
/// start and at its end, the signal's default action would end the process. A
/// signal that comes while it is blocked is delivered once it is unblocked.
inline void set_reload_signal_blocked(bool blocked) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigprocmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

} // namespace hibiscus::entry
