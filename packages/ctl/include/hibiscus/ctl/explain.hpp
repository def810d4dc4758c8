#pragma once

#include "hibiscus/base/clock.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace hibiscus::ctl {

/// A decision or event about a request, sample or engine, from a node's log
/// file.
struct explanation {
    /// The wall-clock time.
    base::millis time = 0;
    std::string node;
    /// The kind of the decision, or the name of the event.
    std::string kind;
    std::string subject;
    std::string choice;
    /// The reason of the decision, or the fields of the event.
    std::string reason;
    std::vector<std::string> candidates;
};

/// Reads the JSON lines of `log`. Appends the decisions and events that have
/// `name` as the value of a field to `explanations`. Ignores lines that are
/// truncated or not JSON.
void collect_explanations(std::istream& log, const std::string& name,
                          std::vector<explanation>& explanations);

/// Writes explanations as text, ordered by time.
void write_text(std::ostream& out, std::vector<explanation> explanations);

/// Writes explanations as a JSON array, ordered by time.
void write_json(std::ostream& out, std::vector<explanation> explanations);

} // namespace hibiscus::ctl
