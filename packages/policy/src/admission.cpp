#include "hibiscus/policy/admission.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscus::policy {

namespace {

constexpr double mean_gain = 0.125;
constexpr double deviation_gain = 0.25;
constexpr double deviations = 4.0;
/// Below this a scheduler's hiccup looks like a lost connection.
constexpr base::millis least_patience = 100;
constexpr base::millis first_patience = 500;
constexpr base::millis bucket_ms = 100;
/// What a refused caller is told when nothing has drained lately.
constexpr base::millis unknown_wait = 1000;
constexpr base::millis least_wait = 20;
constexpr base::millis longest_wait = 10000;

/// Returns the time in which `ahead` requests drain.
base::millis wait_for(double ahead, double per_ms) {
    if (per_ms <= 0.0) {
        return unknown_wait;
    }
    const double wait = std::ceil(ahead / per_ms);
    return static_cast<base::millis>(
        std::min(wait, static_cast<double>(longest_wait)));
}

} // namespace

void latency_estimate::note(base::millis took) {
    const auto sample = static_cast<double>(took);
    if (!seen_) {
        seen_ = true;
        mean_ = sample;
        deviation_ = sample / 2;
        return;
    }
    deviation_ += deviation_gain * (std::abs(sample - mean_) - deviation_);
    mean_ += mean_gain * (sample - mean_);
}

base::millis latency_estimate::patience() const {
    if (!seen_) {
        return first_patience;
    }
    const double patience = 2 * mean_ + deviations * deviation_;
    return std::max(least_patience, static_cast<base::millis>(patience));
}

void drain_meter::note(base::millis now) {
    const auto number = now / bucket_ms;
    auto& b = ring_[static_cast<std::size_t>(number) % buckets];
    if (b.number != number) {
        b = {number, 0};
    }
    ++b.count;
}

double drain_meter::per_ms(base::millis now) const {
    const auto newest = now / bucket_ms;
    const auto span = static_cast<std::int64_t>(buckets);
    std::int64_t oldest = newest;
    int count = 0;
    for (const auto& b : ring_) {
        if (b.number > newest - span && b.number <= newest) {
            count += b.count;
            oldest = std::min(oldest, b.number);
        }
    }
    const auto ms = std::max(bucket_ms, now - oldest * bucket_ms);
    return static_cast<double>(count) / static_cast<double>(ms);
}

admission admit(const admission_query& query) {
    const auto ahead = static_cast<double>(query.queued) + 1.0;
    const auto wait = wait_for(ahead, query.drain_per_ms);
    const bool in_time = wait + query.mean < query.left;
    return {in_time, std::max(least_wait, wait)};
}

bool work_limit::enter() {
    if (in_work_ >= most_) {
        return false;
    }
    ++in_work_;
    return true;
}

void work_limit::leave(base::millis now) {
    in_work_ -= in_work_ > 0 ? 1 : 0;
    drained_.note(now);
}

base::millis work_limit::retry_after(base::millis now) const {
    // Half of those in work gone leaves room for the many who come back.
    const auto ahead = static_cast<double>(in_work_) / 2.0;
    return std::max(least_wait, wait_for(ahead, drained_.per_ms(now)));
}

} // namespace hibiscus::policy
