#pragma once

#include "hibiscus/base/clock.hpp"

#include <memory>
#include <string>

namespace hibiscus::telemetry {

/// The counters and gauges of a node, for GET /metrics. Safe for use by
/// several threads.
class metrics {
public:
    /// Constructs the families; all values are 0.
    metrics();
    ~metrics();

    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts an answer to a caller. `kind` is "service", "pull", "step",
    /// "version" or "entries".
    void count_response(const std::string& kind, const std::string& outcome,
                        const std::string& reason);

    /// Counts an event: "peer_malformed", "log_failure", "stale_dropped", ...
    void count_event(const std::string& name);

    /// Sets a gauge: "members", "revision", "pending_claims", ...
    void set(const std::string& name, double value);

    /// Adds a duration in ms to the histogram of `kind`: "lookup", "run",
    /// "accept", "reward", "store_append", ...
    void observe(const std::string& kind, base::millis ms);

    /// Returns all values in the text format of Prometheus.
    std::string serialize() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hibiscus::telemetry
