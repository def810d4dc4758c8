#include "hibiscus/batch/scoring_window.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscus::batch {

namespace {

/// The fewest calls in flight, whatever the capacity.
constexpr double min_size = 2;

/// Share of the capacity that the window begins with.
constexpr double initial_share = 0.75;

/// Share of the servers' work that the calls keep when requests of callers
/// press too: the same as these.
constexpr double kept_share = 0.5;

/// With waits at the servers, more calls must be in flight to keep that share.
/// This bounds how many times more.
constexpr double max_stretch = 32;

/// The same while admission keeps the share: room for calls that differ in
/// length.
constexpr double max_kept_stretch = 2;

constexpr double rejection_factor = 0.7;
constexpr double wait_factor = 0.85;

/// Mean response times, as multiples of the usual one, up to which the window
/// grows, and above which it shrinks.
constexpr double near_usual = 3;
constexpr double waits = 4;

/// The weight of a shorter response time in the usual one, and the factor by
/// which a longer one raises it, so that minutes of waits hardly do.
constexpr double shorter_weight = 1.0 / 4;
constexpr double longer_factor = 1 + 1.0 / 8192;

/// Weights of a new response time in the mean and in the deviation.
constexpr double mean_weight = 1.0 / 8;
constexpr double deviation_weight = 1.0 / 4;
constexpr double deviations_in_limit = 4;

/// The shortest time between two shrinks, so that the rejections of one burst
/// count once.
constexpr base::millis min_shrink_interval_ms = 50;

/// Bounds of the time limit. The lower one lets a long call be answered by a
/// second server.
constexpr base::millis min_time_limit_ms = 1000;
constexpr base::millis max_time_limit_ms = 8000;
constexpr int max_doublings = 3;

/// The time limit while no call has been answered.
constexpr base::millis first_time_limit_ms = 2000;

} // namespace

void scoring_window::set_capacity(int slots) {
    capacity_ = std::max(1, slots);
    if (!has_shrunk_) {
        size_ = std::max(size_, initial_share * capacity_);
    }
    size_ = std::clamp(size_, floor(), std::max(floor(), capacity_));
}

int scoring_window::size() const {
    return static_cast<int>(std::max(floor(), size_));
}

double scoring_window::floor() const {
    const double most = share_kept_ ? max_kept_stretch : max_stretch;
    const double stretch =
        usual_ms_ == 0 ? 1 : std::clamp(mean_ms_ / usual_ms_, 1.0, most);
    return std::max(min_size, kept_share * capacity_ * stretch);
}

void scoring_window::on_answered(base::millis response_ms, int in_flight,
                                 base::millis now) {
    const auto ms = static_cast<double>(response_ms);
    timeouts_in_a_row_ = 0;
    rejections_in_a_row_ = 0;
    if (usual_ms_ == 0) {
        usual_ms_ = std::max(1.0, ms);
        mean_ms_ = ms;
        deviation_ms_ = ms / 2;
    } else {
        deviation_ms_ +=
            deviation_weight * (std::abs(ms - mean_ms_) - deviation_ms_);
        mean_ms_ += mean_weight * (ms - mean_ms_);
    }
    if (mean_ms_ > waits * usual_ms_) {
        shrink(wait_factor, now);
    } else if (mean_ms_ <= near_usual * usual_ms_ && 2 * in_flight >= size()) {
        size_ = std::min(std::max(floor(), capacity_),
                         size_ + (has_shrunk_ ? 1 / size_ : 1));
    }
    usual_ms_ = std::max(
        1.0, ms < usual_ms_ ? usual_ms_ + shorter_weight * (ms - usual_ms_)
                            : std::min(ms, usual_ms_ * longer_factor));
    if (target_ms_ > 0) {
        usual_ms_ = std::min(usual_ms_, target_ms_);
    }
}

base::millis scoring_window::on_rejected(base::millis now) {
    if (shrink(rejection_factor, now)) {
        rejections_in_a_row_ =
            std::min(rejections_in_a_row_ + 1, max_doublings);
    }
    return std::max(min_shrink_interval_ms,
                    static_cast<base::millis>(usual_ms_))
           << rejections_in_a_row_;
}

void scoring_window::on_timeout(base::millis now) {
    timeouts_in_a_row_ = std::min(timeouts_in_a_row_ + 1, max_doublings);
    shrink(wait_factor, now);
}

bool scoring_window::shrink(double factor, base::millis now) {
    const auto interval =
        std::max(min_shrink_interval_ms, static_cast<base::millis>(usual_ms_));
    if (has_shrunk_ && now - last_shrunk_at_ < interval) {
        return false;
    }
    has_shrunk_ = true;
    last_shrunk_at_ = now;
    size_ = std::min(size_, std::max(floor(), size_ * factor));
    return true;
}

base::millis scoring_window::time_limit() const {
    if (usual_ms_ == 0) {
        return first_time_limit_ms << timeouts_in_a_row_;
    }
    const auto limit = static_cast<base::millis>(
        mean_ms_ + deviations_in_limit * deviation_ms_);
    return std::min(max_time_limit_ms, std::max(min_time_limit_ms, limit)
                                           << timeouts_in_a_row_);
}

} // namespace hibiscus::batch
