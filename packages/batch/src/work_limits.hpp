#pragma once

/// Limits that several parts of `work` share.
namespace hibiscus::batch {

/// A run with so many events is long. An estimate: about twice the mean of the
/// texts that were seen, 24 events.
constexpr int long_events = 45;

} // namespace hibiscus::batch
