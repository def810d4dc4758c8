#pragma once

/// Limits shared by the source files of item_scheduler.
namespace hibiscus::batch {

/// A run with this many events is long: about twice the mean.
constexpr int long_run_events = 45;

} // namespace hibiscus::batch
