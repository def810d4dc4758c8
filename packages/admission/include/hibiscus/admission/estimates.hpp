#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::admission {

/// A sum whose addends lose their weight exponentially.
class decaying_sum {
public:
    void add(double amount, base::millis now);
    double value(base::millis now) const;
    /// Returns the mean rate of the addends per ms.
    double rate_per_ms(base::millis now) const;

private:
    double sum_ = 0;
    base::millis updated_at_ = 0;
};

/// The mean of a level that changes with time.
class decaying_mean {
public:
    /// Sets the level from now on.
    void set(double level, base::millis now);
    double value(base::millis now) const;
    double level() const { return level_; }

private:
    double mean_ = 0;
    double level_ = 0;
    base::millis updated_at_ = 0;
};

/// Estimates the usual response time of one kind of call, without the time that
/// calls wait in the queues of busy servers.
class usual_time {
public:
    /// Adds a response time. While `may_have_waited`, since requests are known
    /// to wait at servers, only the first responses count.
    void add_sample(base::millis ms, bool may_have_waited = false);

    /// Returns the usual time in ms, or `fallback` before the first sample.
    double value(double fallback) const {
        return samples_ == 0 ? fallback : mean_;
    }

    bool is_known() const { return samples_ > 0; }

    /// Returns true if a response after `ms` shows that servers are busy.
    bool is_slow(base::millis ms) const;

private:
    double mean_ = 0;
    int samples_ = 0;
};

/// Learns which part of the room of a service is usable: less if servers reject
/// requests or if most responses take longer than usual.
class room_estimate {
public:
    void on_rejected(base::millis now);
    void on_response(bool is_slow, base::millis now);

    void update(base::millis now);

    double factor() const { return factor_; }

    /// Returns true if servers show that they have no room.
    bool is_pressed(base::millis now) const { return pressure(now) > 0; }

private:
    double pressure(base::millis now) const;

    decaying_sum rejected_;
    decaying_sum responses_;
    decaying_sum slow_;
    double factor_ = 1;
    base::millis updated_at_ = 0;
};

/// Bounds the server time of repeats to a part of that of the requests. A node
/// with few requests has some repeats in hand.
class retry_budget {
public:
    /// `ratio` is the number of repeats for each request.
    explicit retry_budget(double ratio) : ratio_(ratio) {}

    void on_request(base::millis now);

    /// Takes a repeat from the budget. `cost` is the server time that the
    /// attempt before has taken, in usual response times. Returns false if too
    /// little is left.
    bool try_take(double cost, base::millis now);

    bool has(double cost, base::millis now);

private:
    void refill(base::millis now);

    double ratio_;
    double tokens_ = initial_tokens;
    base::millis refilled_at_ = 0;
    static constexpr double initial_tokens = 2;
};

/// Admits requests at a rate of server time. A request is admitted while the
/// bucket is not empty and may overdraw it, so that a share of less than one
/// slot works.
class share_bucket {
public:
    /// Sets the refill rate in slots.
    void set_rate(double slots, base::millis now);

    /// Takes a request of `cost_ms` if the bucket is not empty.
    bool try_take(double cost_ms, base::millis now);

    /// Takes a request that may not have to wait for others, unless the bucket
    /// is overdrawn by more than one and a half of its cost.
    bool try_overdraw(double cost_ms, base::millis now);

    /// Returns the time until the bucket is no longer empty, in ms.
    double wait_ms(base::millis now);

    double rate() const { return slots_; }

private:
    void refill(base::millis now);

    double slots_ = unlimited_rate;
    double tokens_ms_ = 0;
    base::millis refilled_at_ = 0;
    static constexpr double unlimited_rate = 1e18;
};

} // namespace hibiscus::admission
