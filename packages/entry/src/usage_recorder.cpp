#include "usage_recorder.hpp"

#include "hibiscus/base/result.hpp"
#include "platform/store_client.hpp"

#include <utility>

namespace hibiscus::entry {

namespace {

/// Minimum time between two saves, in ms. Bounds the calls of a node that gets
/// hundreds of requests per second.
constexpr base::millis save_interval_ms = 20;

/// Delay before a failed save is repeated, in ms.
constexpr base::millis save_retry_delay_ms = 100;

/// Counts of older windows are dropped, in ms. Their reports are given up.
constexpr base::millis max_window_age_ms = 180000;

} // namespace

usage_recorder::usage_recorder(node_state& state,
                               const store::log_store& log_store,
                               store::run_after_function run_after)
    : state_(state), log_store_(log_store), run_after_(std::move(run_after)),
      incarnation_(std::to_string(state.random_engine()) + "-" +
                   std::to_string(state.random_engine())),
      meter_(state.settings.usage_window_ms),
      calendar_(state.settings.usage_window_ms) {}

std::optional<usage_recorder::counted_run>
usage_recorder::count(const std::string& workspace) {
    const bool is_counted = !workspace.empty() && state_.settings.duties &&
                            state_.settings.duties->usage_reporting;
    if (!is_counted) {
        return std::nullopt;
    }
    auto run = meter_.count(workspace, state_.true_time());
    report_late_counts(run.window);
    save();
    return run;
}

void usage_recorder::revert(const counted_run& run) {
    meter_.revert(run);
    report_late_counts(run.window);
    save();
}

void usage_recorder::on_report_fixed(duties::window_number window) {
    last_fixed_ = std::max(last_fixed_, window);
}

/// Stores the counts that have changed.
void usage_recorder::save() {
    if (saving_ || !meter_.has_unsaved()) {
        return;
    }
    saving_ = true;
    const auto changed = meter_.take_unsaved();
    std::vector<store::record> records;
    records.reserve(changed.size());
    for (const auto& w : changed) {
        records.push_back(
            {duties::format_key({w.window, state_.settings.node.str(),
                                 incarnation_, generation_}),
             duties::encode(w.counts)});
    }
    log_store_.append({adapter::usage_topic, 0}, records, nullptr,
                      [this, changed](const store::append_result& r) {
                          on_saved(changed, r);
                      });
}

void usage_recorder::on_saved(
    const std::vector<duties::usage_meter::window_counts>& saved,
    const store::append_result& result) {
    const bool is_stored = base::value_if(result) != nullptr;
    if (std::holds_alternative<store::outcome_unknown>(result)) {
        ++generation_;
    }
    for (const auto& w : saved) {
        if (!is_stored) {
            meter_.on_save_failed(w.window);
        }
    }
    if (!is_stored) {
        state_.log.write(
            "append_refused",
            {{"reason", "usage"}, {"windows", static_cast<int>(saved.size())}});
    }
    meter_.forget_before(
        calendar_.window_at(state_.true_time() - max_window_age_ms));
    run_after_(is_stored ? save_interval_ms : save_retry_delay_ms, [this] {
        saving_ = false;
        save();
    });
}

void usage_recorder::report_late_counts(duties::window_number window) {
    if (window > last_fixed_) {
        return;
    }
    state_.counters.count_event("usage_after_report");
    state_.log.write("usage_after_report",
                     {{"window", window}, {"last_fixed", last_fixed_}});
}

} // namespace hibiscus::entry
