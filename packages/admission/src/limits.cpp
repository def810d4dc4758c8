#include "hibiscus/admission/limits.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscus::admission {

namespace {

constexpr double mean_gain = 0.125;
constexpr double deviation_gain = 0.25;
constexpr double timeout_deviations = 4.0;
/// With a shorter timeout, a scheduling delay would look like a lost
/// connection.
constexpr base::millis min_timeout_ms = 100;
constexpr base::millis initial_timeout_ms = 500;
constexpr base::millis bucket_ms = 100;
/// The wait assumed if no request has completed recently.
constexpr base::millis default_wait_ms = 1000;
constexpr base::millis min_wait_ms = 20;
constexpr base::millis max_wait_ms = 10000;

/// Returns the time in which `requests` requests complete, in ms.
base::millis estimate_wait(double requests, double rate_per_ms) {
    if (rate_per_ms <= 0.0) {
        return default_wait_ms;
    }
    const double wait = std::ceil(requests / rate_per_ms);
    return static_cast<base::millis>(
        std::min(wait, static_cast<double>(max_wait_ms)));
}

} // namespace

void latency_estimate::add_sample(base::millis latency_ms) {
    const auto sample = static_cast<double>(latency_ms);
    if (!has_samples_) {
        has_samples_ = true;
        mean_ = sample;
        deviation_ = sample / 2;
        return;
    }
    deviation_ += deviation_gain * (std::abs(sample - mean_) - deviation_);
    mean_ += mean_gain * (sample - mean_);
}

base::millis latency_estimate::timeout() const {
    if (!has_samples_) {
        return initial_timeout_ms;
    }
    const double timeout = 2 * mean_ + timeout_deviations * deviation_;
    return std::max(min_timeout_ms, static_cast<base::millis>(timeout));
}

void throughput_meter::record_completion(base::millis now) {
    const auto index = now / bucket_ms;
    auto& b = buckets_[static_cast<std::size_t>(index) % bucket_count];
    if (b.index != index) {
        b = {index, 0};
    }
    ++b.count;
}

double throughput_meter::rate_per_ms(base::millis now) const {
    const auto newest = now / bucket_ms;
    const auto window_buckets = static_cast<std::int64_t>(bucket_count);
    std::int64_t oldest = newest;
    int count = 0;
    for (const auto& b : buckets_) {
        if (b.index > newest - window_buckets && b.index <= newest) {
            count += b.count;
            oldest = std::min(oldest, b.index);
        }
    }
    const auto ms = std::max(bucket_ms, now - oldest * bucket_ms);
    return static_cast<double>(count) / static_cast<double>(ms);
}

admission_decision admit(const admission_query& query) {
    const auto requests = static_cast<double>(query.queued) + 1.0;
    const auto wait = estimate_wait(requests, query.throughput_per_ms);
    const bool meets_deadline =
        wait + query.mean_latency < query.time_to_deadline;
    return {meets_deadline, std::max(min_wait_ms, wait)};
}

bool concurrency_limit::try_acquire() {
    if (in_flight_ >= max_in_flight_) {
        return false;
    }
    ++in_flight_;
    return true;
}

void concurrency_limit::release(base::millis now) {
    in_flight_ -= in_flight_ > 0 ? 1 : 0;
    throughput_.record_completion(now);
}

base::millis concurrency_limit::retry_after(base::millis now) const {
    // Once half of the requests in flight have completed, there is room for the
    // many callers that retry.
    const auto requests = static_cast<double>(in_flight_) / 2.0;
    return std::max(min_wait_ms,
                    estimate_wait(requests, throughput_.rate_per_ms(now)));
}

} // namespace hibiscus::admission
