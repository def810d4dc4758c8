#pragma once

#include <cstdint>

/// Limits that several parts of `work` share.
namespace hibiscus::batch {

/// A run with so many events is long. An estimate: about twice the mean of the
/// texts that were seen, 24 events.
constexpr int long_events = 45;

/// The tokens of one event, for what a run holds in memory.
constexpr std::int64_t tokens_an_event = 64;

} // namespace hibiscus::batch
