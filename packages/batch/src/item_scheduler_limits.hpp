#pragma once

/// Limits that several parts of `work` share.
namespace hibiscus::batch {

/// A run with so many events is long: about twice the mean.
constexpr int long_run_events = 45;

} // namespace hibiscus::batch
