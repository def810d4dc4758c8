#pragma once

#include "node_state.hpp"

#include "hibiscus/duties/usage_meter.hpp"

#include <optional>
#include <string>

namespace hibiscus::entry {

/// Counts the requests of workspaces that this node makes run, and stores the
/// counts as soon as they change, so that they outlive the process.
class usage_recorder {
public:
    /// Records nothing if usage reporting is not among the duties.
    usage_recorder(node_state& state, const store::log_store& log_store,
                   store::run_after_function run_after);

    using counted_run = duties::usage_meter::counted_run;

    /// Counts a request that begins to run now. Returns nothing if it is not
    /// counted because it belongs to no workspace.
    std::optional<counted_run> count(const std::string& workspace);

    /// Reverts a count: the request has not run after all.
    void revert(const counted_run& run);

    /// Called when the report of a window is fixed. Counts that change later
    /// are not reported.
    void on_report_fixed(duties::window_number window);

private:
    void save();
    void on_saved(const std::vector<duties::usage_meter::window_counts>& saved,
                  const store::append_result& result);
    void report_late_counts(duties::window_number window);

    node_state& state_;
    const store::log_store& log_store_;
    store::run_after_function run_after_;
    std::string incarnation_;
    duties::usage_meter meter_;
    duties::window_calendar calendar_;
    int generation_ = 0;
    bool saving_ = false;
    duties::window_number last_fixed_ = 0;
};

} // namespace hibiscus::entry
