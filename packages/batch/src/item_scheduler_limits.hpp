#pragma once

/// Limits shared by the source files of item_scheduler.
namespace hibiscus::batch {

/// A text with at least this many events is long: about twice the mean of all
/// texts.
constexpr int long_text_events = 45;

} // namespace hibiscus::batch
