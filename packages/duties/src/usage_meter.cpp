#include "hibiscus/duties/usage_meter.hpp"

namespace hibiscus::duties {

usage_meter::counted_run usage_meter::count(const std::string& workspace,
                                            base::millis true_time) {
    const auto window = calendar_.window_at(true_time);
    ++counts_[window][workspace];
    unsaved_.insert(window);
    return {window, workspace};
}

void usage_meter::revert(const counted_run& run) {
    const auto window = counts_.find(run.window);
    if (window == counts_.end()) {
        return;
    }
    --window->second[run.workspace];
    unsaved_.insert(run.window);
}

std::vector<usage_meter::window_counts> usage_meter::take_unsaved() {
    std::vector<window_counts> taken;
    for (const auto window : std::exchange(unsaved_, {})) {
        taken.push_back({window, counts_[window]});
    }
    return taken;
}

void usage_meter::on_save_failed(window_number window) {
    if (counts_.count(window) != 0) {
        unsaved_.insert(window);
    }
}

void usage_meter::forget_before(window_number window) {
    counts_.erase(counts_.begin(), counts_.lower_bound(window));
    unsaved_.erase(unsaved_.begin(), unsaved_.lower_bound(window));
}

} // namespace hibiscus::duties
