#pragma once

#include "hibiscus/base/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hibiscus::policy {

/// Estimates how long the calls of a service take, as TCP does for its
/// retransmissions: a smoothed mean and a smoothed deviation.
class latency_estimate {
public:
    /// Notes the time that one call took.
    void add_sample(base::millis took);

    /// Returns the smoothed mean, or 0 before the first call.
    base::millis mean() const { return static_cast<base::millis>(mean_); }

    /// Returns the time after which a call that has no answer is more likely
    /// lost than slow.
    base::millis timeout() const;

private:
    double mean_ = 0.0;
    double deviation_ = 0.0;
    bool has_samples_ = false;
};

/// Measures how many requests a service completes, over the last two seconds.
class throughput_meter {
public:
    /// Notes a completed request.
    void record_completion(base::millis now);

    /// Returns the requests completed for each millisecond.
    double rate_per_ms(base::millis now) const;

private:
    struct bucket {
        std::int64_t number = -1;
        int count = 0;
    };

    static constexpr std::size_t bucket_count = 20;
    std::array<bucket, bucket_count> buckets_{};
};

/// What is known when a request finds every instance at its limit.
struct admission_query {
    /// The requests that wait before it.
    std::size_t queued = 0;
    /// What drain_meter says.
    double throughput_per_ms = 0.0;
    /// How long a call takes once it has left.
    base::millis mean_latency = 0;
    /// How long the caller still waits.
    base::millis time_to_deadline = 0;
};

/// Whether a request may wait.
struct admission_decision {
    bool admitted = false;
    /// The wait before the request would leave, in ms. A caller who is refused
    /// should come back after it.
    base::millis wait = 0;
};

/// Decides whether a request may wait: only if it would leave early enough to
/// be answered within its deadline. One that would be given up on later only
/// lengthens the wait of the others, and its caller learns it too late.
admission_decision admit(const admission_query& query);

/// Bounds the requests of one kind that are in work, for the control thread.
/// Not safe for use by several threads at once.
class concurrency_limit {
public:
    /// Constructs a limit of `most` requests at a time.
    explicit concurrency_limit(std::size_t most) : max_in_flight_(most) {}

    /// Returns true, and counts one in, if there is room.
    bool try_acquire();

    /// Counts one out.
    void release(base::millis now);

    /// Returns how long one who was refused should stay away, in ms.
    base::millis retry_after(base::millis now) const;

    /// Returns the requests in work.
    std::size_t in_flight() const { return in_flight_; }

private:
    std::size_t max_in_flight_;
    std::size_t in_flight_ = 0;
    throughput_meter throughput_;
};

} // namespace hibiscus::policy
