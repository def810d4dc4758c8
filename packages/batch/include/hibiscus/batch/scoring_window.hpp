#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::batch {

/// Learns how many reward calls may be in flight at the servers of a service.
/// It grows while calls that fill it are answered near their usual time, and
/// shrinks on rejections and on waits. Times in ms.
class scoring_window {
public:
    /// Sets how many requests the servers of the service work on at a time.
    void set_capacity(int slots);

    /// Sets the desired response time, 0 if there is none. Calls take no longer
    /// than that while nothing waits at the servers, so that a new owner
    /// doesn't take the waits of a shortage for usual.
    void set_target(base::millis ms) { target_ms_ = static_cast<double>(ms); }

    /// Sets whether admission keeps the share of the calls when requests of
    /// callers press. Then calls that wait for admission must not widen the
    /// window as waits at the servers do.
    void set_share_kept(bool kept) { share_kept_ = kept; }

    int size() const;

    /// Called when a server has answered a call after `response_ms`.
    /// `in_flight` counts the calls in flight until then: calls that leave more
    /// than half of the window unused don't make it grow.
    void on_answered(base::millis response_ms, int in_flight, base::millis now);

    /// Called when no server has taken a call. Returns how long the call still
    /// counts as in flight, so that a queue of calls isn't sent and rejected at
    /// once; the time grows while no call is answered.
    base::millis on_rejected(base::millis now);

    /// Called when a call had no answer within its time limit.
    void on_timeout(base::millis now);

    /// Returns the time within which nearly all calls are answered, as
    /// observed lately.
    base::millis time_limit() const;

private:
    double floor() const;
    bool shrink(double factor, base::millis now);

    double capacity_ = 1;
    double target_ms_ = 0;
    bool share_kept_ = false;
    double size_ = 0;
    /// The time that calls take while nothing waits at the servers; 0 if
    /// unknown.
    double usual_ms_ = 0;
    double mean_ms_ = 0;
    double deviation_ms_ = 0;
    int timeouts_in_a_row_ = 0;
    int rejections_in_a_row_ = 0;
    bool has_shrunk_ = false;
    base::millis last_shrunk_at_ = 0;
};

} // namespace hibiscus::batch
