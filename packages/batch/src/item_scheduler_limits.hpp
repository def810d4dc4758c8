#pragma once

#include "hibiscus/base/clock.hpp"

/// Limits shared by the source files of item_scheduler.
namespace hibiscus::batch {

/// A text with at least this many events is long: about twice the mean of all
/// texts.
constexpr int long_text_events = 45;

/// How long a send whose loss may be its last waits for a server of its own, in
/// ms: most runs end sooner.
constexpr base::millis max_isolation_wait_ms = 2000;

/// A server that has sent nothing for less than this, in ms, is not silent.
constexpr base::millis min_silence_ms = 300;

/// A server that has sent nothing for longer than this, in ms, is checked
/// before it gets an item.
constexpr base::millis max_unheard_ms = 100;

} // namespace hibiscus::batch
