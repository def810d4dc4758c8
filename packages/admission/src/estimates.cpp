#include "hibiscus/admission/estimates.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscus::admission {

namespace {

constexpr double ms_per_s = 1000;

/// Time in which an addend of a decaying sum loses most of its weight, in ms.
/// Long enough to smooth single requests, short enough to follow a step of a
/// job.
constexpr double decay_ms = 2000;

/// The same for a level, in ms. Short, because the level tells whether
/// requests wait at servers now.
constexpr double level_decay_ms = 500;

/// Gains of the usual time for the first responses, which may have waited, and
/// later.
constexpr double first_gain = 0.3;
constexpr double later_gain = 0.06;
constexpr int first_samples = 6;

/// A single response counts at most as this multiple of the usual time.
constexpr double max_sample_ratio = 3;

/// Multiple of the usual time from which a response counts as slow.
constexpr double slow_ratio = 2;

/// Responses that are assumed beside the observed ones, so that a node with few
/// requests draws no conclusion from one of them.
constexpr double assumed_responses = 4;

/// Rejections that servers may show while they have room, as a part of the
/// responses.
constexpr double tolerated_rejections = 0.02;

/// The pressure that counts when most responses are slow.
constexpr double slow_pressure = 0.15;
constexpr double slow_majority = 0.5;

/// Least usable part of the room. With less, something other than a lack of
/// room must be the cause.
constexpr double min_room_factor = 0.6;

/// Change of the usable part per second, for each unit of pressure and without
/// any.
constexpr double reduction = 0.4;
constexpr double recovery_per_s = 0.05;

/// Time for which a bucket saves unused server time, in ms. The queues of the
/// servers absorb what all nodes then send at once.
constexpr double burst_ms = 1000;

/// Overdraft, as a multiple of a request's cost, from which none is sent.
constexpr double max_overdraft = 1.5;

constexpr double min_rate = 0.001;

/// Repeats that a node has in hand, at most, and how many more it gets per
/// second without any requests.
constexpr double max_retry_tokens = 10;
constexpr double idle_retries_per_s = 0.05;

} // namespace

void decaying_sum::add(double amount, base::millis now) {
    sum_ = value(now) + amount;
    updated_at_ = now;
}

double decaying_sum::value(base::millis now) const {
    return sum_ * std::exp(-static_cast<double>(now - updated_at_) / decay_ms);
}

double decaying_sum::rate_per_ms(base::millis now) const {
    return value(now) / decay_ms;
}

void decaying_mean::set(double level, base::millis now) {
    mean_ = value(now);
    level_ = level;
    updated_at_ = now;
}

double decaying_mean::value(base::millis now) const {
    return level_ +
           (mean_ - level_) * std::exp(-static_cast<double>(now - updated_at_) /
                                       level_decay_ms);
}

void usual_time::add_sample(base::millis ms, bool may_have_waited) {
    const auto sample = static_cast<double>(std::max<base::millis>(ms, 1));
    if (samples_ == 0) {
        mean_ = sample;
    }
    const bool is_first = samples_ < first_samples;
    samples_ = std::min(samples_ + 1, first_samples);
    if (is_first && sample < mean_) {
        mean_ += first_gain * (sample - mean_);
    } else if (!may_have_waited) {
        mean_ +=
            later_gain * (std::min(sample, max_sample_ratio * mean_) - mean_);
    }
}

bool usual_time::is_slow(base::millis ms) const {
    return samples_ > 0 && static_cast<double>(ms) > slow_ratio * mean_;
}

void room_estimate::on_rejected(base::millis now) {
    rejected_.add(1, now);
}

void room_estimate::on_response(bool is_slow, base::millis now) {
    responses_.add(1, now);
    slow_.add(is_slow ? 1 : 0, now);
}

double room_estimate::pressure(base::millis now) const {
    const double rejected = rejected_.value(now);
    const double responses = responses_.value(now) + assumed_responses;
    double result = rejected / (rejected + responses) - tolerated_rejections;
    if (slow_.value(now) > slow_majority * responses) {
        result = std::max(result, slow_pressure);
    }
    return std::max(result, 0.0);
}

void room_estimate::update(base::millis now) {
    const double seconds =
        std::min(1.0, static_cast<double>(now - updated_at_) / ms_per_s);
    updated_at_ = now;
    const double change =
        is_pressed(now) ? -reduction * pressure(now) : recovery_per_s;
    factor_ = std::clamp(factor_ + change * seconds, min_room_factor, 1.0);
}

void retry_budget::refill(base::millis now) {
    const double seconds = static_cast<double>(now - refilled_at_) / ms_per_s;
    refilled_at_ = now;
    if (tokens_ < initial_tokens) {
        tokens_ =
            std::min(initial_tokens, tokens_ + seconds * idle_retries_per_s);
    }
}

void retry_budget::on_request(base::millis now) {
    refill(now);
    tokens_ = std::min(max_retry_tokens, tokens_ + ratio_);
}

bool retry_budget::has(double cost, base::millis now) {
    refill(now);
    return tokens_ >= cost;
}

bool retry_budget::try_take(double cost, base::millis now) {
    if (!has(cost, now)) {
        return false;
    }
    tokens_ -= cost;
    return true;
}

void share_bucket::set_rate(double slots, base::millis now) {
    refill(now);
    slots_ = std::clamp(slots, min_rate, unlimited_rate);
    tokens_ms_ = std::min(tokens_ms_, slots_ * burst_ms);
}

bool share_bucket::try_take(double cost_ms, base::millis now) {
    refill(now);
    if (tokens_ms_ <= 0) {
        return false;
    }
    tokens_ms_ -= cost_ms;
    return true;
}

bool share_bucket::try_overdraw(double cost_ms, base::millis now) {
    refill(now);
    if (tokens_ms_ <= -max_overdraft * cost_ms) {
        return false;
    }
    tokens_ms_ -= cost_ms;
    return true;
}

double share_bucket::wait_ms(base::millis now) {
    refill(now);
    return tokens_ms_ > 0 ? 0 : 1 - tokens_ms_ / slots_;
}

void share_bucket::refill(base::millis now) {
    const auto elapsed_ms = static_cast<double>(now - refilled_at_);
    refilled_at_ = now;
    tokens_ms_ = std::min(slots_ * burst_ms, tokens_ms_ + elapsed_ms * slots_);
}

} // namespace hibiscus::admission
