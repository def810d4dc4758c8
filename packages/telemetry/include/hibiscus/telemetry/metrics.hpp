#pragma once

#include "hibiscus/base/clock.hpp"

#include <memory>
#include <string>

namespace hibiscus::telemetry {

/// The counters, gauges and histograms of a node, exported at GET /metrics.
/// Thread-safe.
class metrics {
public:
    metrics();
    ~metrics();

    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts a response or the end of a call by its kind, such as "job" or
    /// "run", its outcome, and the reason, which may be empty.
    void count_response(const std::string& kind, const std::string& outcome,
                        const std::string& reason);

    /// Increments the counter of an event: "peer_malformed",
    /// "log_append_failed", "log_read_failed", ...
    void count_event(const std::string& name);

    /// Sets a gauge: "members", "revision", "pending_claims", ...
    void set(const std::string& name, double value);

    /// Adds a duration in milliseconds to the latency histogram of `kind`:
    /// "lookup", "run", "accept", "reward", "store_append", ...
    void observe(const std::string& kind, base::millis ms);

    /// Returns all metrics in the Prometheus text format.
    std::string serialize() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hibiscus::telemetry
