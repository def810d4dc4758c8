#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/ids.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::node {

/// Severity of a log line, in ascending order.
enum class severity { debug, info, warn, error };

/// A key of a log line, with its value. The constructors are implicit, so that
/// `{"key", value}` is a field.
struct log_field {
    log_field(const char* name, std::string text)
        : name(name), text(std::move(text)) {}

    log_field(const char* name, std::int64_t number)
        : name(name), number(number), is_number(true) {}

    const char* name;
    std::string text;
    std::int64_t number = 0;
    bool is_number = false;
};

/// A decision, such as the choice of a server: its subject, the candidates, the
/// choice and the reason for it.
struct decision {
    /// "route", "place", "admit", "claim" or "order".
    const char* kind;
    /// ID of the request, stream, trainer or engine that the decision concerns.
    std::string subject;
    std::vector<std::string> candidates;
    std::string choice;
    std::string reason;
};

/// Writes JSON lines to the standard error stream. A separate thread writes the
/// queued lines, so that callers do not wait for the reader of the stream.
/// Thread-safe.
class event_log {
public:
    /// Constructs the log of the node `node`. Drops lines below the severity
    /// `min_level` ("debug", "info", "warn" or "error").
    event_log(const base::node_id& node, const std::string& min_level,
              base::clock clock);

    /// Flushes the queue.
    ~event_log();

    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Writes a line with the event name "decision".
    void write_decision(const decision& record);

    /// Writes a line with the event name `name` and the given fields.
    void event(severity level, const char* name,
               const std::vector<log_field>& fields);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hibiscus::node
