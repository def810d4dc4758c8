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
    void note(base::millis took);

    /// Returns the smoothed mean, or 0 before the first call.
    base::millis mean() const { return static_cast<base::millis>(mean_); }

    /// Returns the time after which a call that has no answer is more likely
    /// lost than slow.
    base::millis patience() const;

private:
    double mean_ = 0.0;
    double deviation_ = 0.0;
    bool seen_ = false;
};

/// Measures how many requests a service completes, over the last two seconds.
class drain_meter {
public:
    /// Notes a completed request.
    void note(base::millis now);

    /// Returns the requests completed for each millisecond.
    double per_ms(base::millis now) const;

private:
    struct bucket {
        std::int64_t number = -1;
        int count = 0;
    };

    static constexpr std::size_t buckets = 20;
    std::array<bucket, buckets> ring_{};
};

/// What is known when a request finds every instance at its limit.
struct admission_query {
    /// The requests that wait before it.
    std::size_t queued = 0;
    /// What drain_meter says.
    double drain_per_ms = 0.0;
    /// How long a call takes once it has left.
    base::millis mean = 0;
    /// How long the caller still waits.
    base::millis left = 0;
};

/// Whether a request may wait.
struct admission {
    bool admitted = false;
    /// The wait before the request would leave, in ms. A caller who is refused
    /// should come back after it.
    base::millis wait = 0;
};

/// Decides whether a request may wait: only if it would leave early enough to
/// be answered within its deadline. One that would be given up on later only
/// lengthens the wait of the others, and its caller learns it too late.
admission admit(const admission_query& query);

/// Bounds the requests of one kind that are in work, for the control thread.
/// Not safe for use by several threads at once.
class work_limit {
public:
    /// Constructs a limit of `most` requests at a time.
    explicit work_limit(std::size_t most) : most_(most) {}

    /// Returns true, and counts one in, if there is room.
    bool enter();

    /// Counts one out.
    void leave(base::millis now);

    /// Returns how long one who was refused should stay away, in ms.
    base::millis retry_after(base::millis now) const;

    /// Returns the requests in work.
    std::size_t in_work() const { return in_work_; }

private:
    std::size_t most_;
    std::size_t in_work_ = 0;
    drain_meter drained_;
};

} // namespace hibiscus::policy
