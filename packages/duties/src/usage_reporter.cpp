#include "hibiscus/duties/usage_reporter.hpp"

#include <algorithm>

namespace hibiscus::duties {

namespace {

/// The report of a window is fixed after this part of the time until it is due.
/// Nodes that were cut off may store their counts until then; the rest of the
/// time is for a change of the holder and for repeated calls.
constexpr double fix_delay_share = 0.5;

/// Number of windows before the first call of window_to_fix() that are reported
/// if the journal has no reports. An earlier holder may have been lost before
/// it fixed any.
constexpr window_number first_windows = 4;

constexpr int max_doublings = 8;

} // namespace

void usage_reporter::on_fixed(const usage_report& report) {
    auto& row = reports_[report.window];
    row.report = report;
    row.confirmed = row.confirmed || report.delivered;
    last_fixed_ = std::max(last_fixed_.value_or(report.window), report.window);
}

std::optional<window_number>
usage_reporter::window_to_fix(base::millis true_time) {
    if (!first_window_) {
        first_window_ = calendar_.window_at(true_time) - first_windows;
    }
    const auto oldest = calendar_.window_at(true_time - times_.max_age_ms);
    const auto next = last_fixed_ ? *last_fixed_ + 1 : *first_window_;
    const auto window = std::max(next, oldest);
    const auto fix_delay_ms = static_cast<base::millis>(
        fix_delay_share * static_cast<double>(times_.due_ms));
    if (calendar_.end_of(window) + fix_delay_ms > true_time) {
        return std::nullopt;
    }
    return window;
}

std::optional<usage_report>
usage_reporter::report_to_send(base::millis true_time, base::millis now) {
    if (call_in_flight_ || now < retry_at_) {
        return std::nullopt;
    }
    const report_row* overdue = nullptr;
    for (auto& [window, row] : reports_) {
        row.given_up = row.given_up ||
                       true_time - calendar_.end_of(window) > times_.max_age_ms;
        if (row.confirmed || row.given_up) {
            continue;
        }
        if (time_left(window, true_time) > 0) {
            call_in_flight_ = true;
            return row.report;
        }
        overdue = overdue == nullptr ? &row : overdue;
    }
    if (overdue == nullptr) {
        return std::nullopt;
    }
    call_in_flight_ = true;
    return overdue->report;
}

void usage_reporter::on_sent(window_number window, duty_result result,
                             base::millis now, double jitter) {
    call_in_flight_ = false;
    const auto row = reports_.find(window);
    if (row != reports_.end()) {
        row->second.confirmed =
            row->second.confirmed || result == duty_result::accepted;
        row->second.given_up =
            row->second.given_up || result == duty_result::invalid;
    }
    if (result != duty_result::failed) {
        failures_ = 0;
        return;
    }
    const auto delay_ms =
        std::min(times_.max_retry_ms,
                 times_.min_retry_ms << std::min(failures_, max_doublings));
    ++failures_;
    // Between half of the delay and all of it.
    retry_at_ = now + static_cast<base::millis>(static_cast<double>(delay_ms) *
                                                (1 + jitter) / 2);
}

void usage_reporter::begin_turn() {
    failures_ = 0;
    retry_at_ = 0;
}

std::vector<usage_report> usage_reporter::unrecorded_deliveries() const {
    std::vector<usage_report> result;
    for (const auto& [window, row] : reports_) {
        if (row.confirmed && !row.report.delivered) {
            result.push_back(row.report);
            result.back().delivered = true;
        }
    }
    return result;
}

std::vector<window_number>
usage_reporter::expired_windows(base::millis true_time) const {
    std::vector<window_number> expired;
    for (const auto& [window, row] : reports_) {
        if (true_time - calendar_.end_of(window) > times_.max_age_ms &&
            last_fixed_ && window < *last_fixed_) {
            expired.push_back(window);
        }
    }
    return expired;
}

} // namespace hibiscus::duties
