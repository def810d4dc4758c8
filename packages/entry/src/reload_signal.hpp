#pragma once

#include <csignal>

namespace hibiscus::entry {

/// Blocks or unblocks SIGHUP. Without a handler, at the start and the end of
/// the process, its default action would terminate the process. A signal that
/// arrives while blocked is delivered when it is unblocked.
inline void set_reload_signal_blocked(bool blocked) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigprocmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

} // namespace hibiscus::entry
