#pragma once

#include "hibiscus/base/clock.hpp"

#include <deque>
#include <optional>

/// Limits how many runs are started at a backend server in a second. A server
/// that has just started tolerates few requests and may crash if it gets more.
namespace hibiscus::samplers {

/// What is known of the servers of a service while they warm up.
struct warm_up_tolerance {
    /// Requests per second that such a server tolerates.
    double requests_per_s = 0;
    /// The most requests that it may get in any second are `requests_per_s`
    /// times `overage`, and `slack` more. Not known if `overage` is 0.
    double overage = 0;
    double slack = 0;
};

/// The runs that may be started at a server in any second.
struct start_limits {
    /// While the server is known to warm up.
    int warming_up = 0;
    /// At other times; nothing if there is no limit. Such a server may have
    /// begun to warm up since its last registration.
    std::optional<int> usual;
};

start_limits make_start_limits(const warm_up_tolerance& tolerance);

/// When the last requests were sent to one server.
class start_window {
public:
    void add(base::millis now);

    /// Returns how many requests were sent in the last second, and the time
    /// more by which their ways to the server may differ.
    int count(base::millis now) const;

private:
    std::deque<base::millis> starts_;
};

} // namespace hibiscus::samplers
