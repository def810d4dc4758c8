#pragma once

#include "hibiscus/base/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hibiscus::admission {

/// Estimates the latency of a service's calls by a smoothed mean and a smoothed
/// deviation, as TCP does for its retransmission timeout, but allows for twice
/// the mean.
class latency_estimate {
public:
    /// Adds the latency of one call, in ms.
    void add_sample(base::millis latency_ms);

    /// Returns the smoothed mean in ms, or 0 before the first call.
    base::millis mean() const { return static_cast<base::millis>(mean_); }

    /// Returns the time in ms after which a call without a response is more
    /// likely lost than slow.
    base::millis timeout() const;

private:
    double mean_ = 0.0;
    double deviation_ = 0.0;
    bool has_samples_ = false;
};

/// Measures the rate at which a service completes requests, over the last two
/// seconds.
class throughput_meter {
public:
    void record_completion(base::millis now);

    /// Returns the number of completed requests per millisecond.
    double rate_per_ms(base::millis now) const;

private:
    struct bucket {
        std::int64_t index = -1;
        int count = 0;
    };

    static constexpr std::size_t bucket_count = 20;
    std::array<bucket, bucket_count> buckets_{};
};

/// Input of admit(): the queue and the load when all instances are at their
/// limits.
struct admission_query {
    /// Requests queued ahead of this one.
    std::size_t queued = 0;
    /// The rate returned by throughput_meter.
    double throughput_per_ms = 0.0;
    /// Mean latency of a call once it is sent, in ms.
    base::millis mean_latency = 0;
    /// Time until the caller's deadline, in ms.
    base::millis time_to_deadline = 0;
};

/// Output of admit().
struct admission_decision {
    bool admitted = false;
    /// Expected time until the request would be sent, in ms. A rejected caller
    /// should retry after it.
    base::millis wait = 0;
};

/// Decides whether a request may be queued: only if it would be sent early
/// enough to get its response before its deadline. A request that would time
/// out later only lengthens the wait of others, and its caller would learn of
/// the failure too late.
admission_decision admit(const admission_query& query);

/// Bounds the concurrent requests of one kind. Not thread-safe; used by the
/// control thread.
class concurrency_limit {
public:
    explicit concurrency_limit(std::size_t max_in_flight)
        : max_in_flight_(max_in_flight) {}

    /// Counts a request as in flight and returns true, unless the limit is
    /// reached.
    bool try_acquire();

    /// Counts a request as ended.
    void release(base::millis now);

    /// Returns the time after which a rejected caller should retry, in ms.
    base::millis retry_after(base::millis now) const;

    std::size_t in_flight() const { return in_flight_; }

private:
    std::size_t max_in_flight_;
    std::size_t in_flight_ = 0;
    throughput_meter throughput_;
};

} // namespace hibiscus::admission
