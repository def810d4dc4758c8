#pragma once

#include "hibiscus/duties/usage.hpp"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::duties {

/// Counts the requests that begin to run, by window and workspace, and tracks
/// which counts are not stored yet. The counts of a window are cumulative, so
/// that storing them again is harmless.
class usage_meter {
public:
    explicit usage_meter(base::millis window_length_ms)
        : calendar_(window_length_ms) {}

    /// A request that was counted.
    struct counted_run {
        window_number window = 0;
        std::string workspace;
    };

    /// Counts a request that began to run at `true_time`.
    counted_run count(const std::string& workspace, base::millis true_time);

    /// Reverts a count: the request has not run after all.
    void revert(const counted_run& run);

    /// The cumulative counts of a window.
    struct window_counts {
        window_number window = 0;
        usage_counts counts;
    };

    /// Returns the windows whose counts have changed since the last call.
    std::vector<window_counts> take_unsaved();

    /// Called when the counts of a window could not be stored.
    void on_save_failed(window_number window);

    bool has_unsaved() const { return !unsaved_.empty(); }

    /// Drops the windows before `window`.
    void forget_before(window_number window);

private:
    window_calendar calendar_;
    std::map<window_number, usage_counts> counts_;
    std::set<window_number> unsaved_;
};

} // namespace hibiscus::duties
