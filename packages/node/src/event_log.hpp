#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/ids.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::node {

/// How much a log line matters.
enum class severity { debug, info, warn, error };

/// One named value of a log line.
struct log_field {
    /// Constructs a field with a text.
    log_field(const char* name, std::string text)
        : name(name), text(std::move(text)) {}

    /// Constructs a field with a whole number.
    log_field(const char* name, std::int64_t number)
        : name(name), number(number), is_number(true) {}

    const char* name;
    std::string text;
    std::int64_t number = 0;
    bool is_number = false;
};

/// A routing or placement decision: what was asked, what could have been
/// chosen, what was, and why.
struct decision {
    /// "route", "place", "claim", "order", ...
    const char* kind;
    /// The request, sample or engine that it is about.
    std::string subject;
    std::vector<std::string> candidates;
    std::string choice;
    std::string reason;
};

/// Writes JSON lines to the standard error stream. Lines are queued, so that
/// no thread waits for the reader of the stream. Safe for several threads.
class event_log {
public:
    /// Constructs a log of the node `node` that drops lines below `least`
    /// ("debug", "info", "warn", "error").
    event_log(const base::node_id& node, const std::string& least,
              base::clock clock);

    /// Writes what is queued.
    ~event_log();

    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Writes a decision.
    void write_decision(const decision& d);

    /// Writes an event that is not a decision.
    void event(severity level, const char* name,
               const std::vector<log_field>& fields);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hibiscus::node
