#pragma once

#include "hibiscus/base/clock.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace hibiscus::ctl {

/// What one log line says about a request, sample or engine.
struct explanation {
    /// The time of day.
    base::millis time = 0;
    std::string node;
    /// The kind of the decision, or the name of the event.
    std::string kind;
    std::string subject;
    std::string choice;
    std::string reason;
    std::vector<std::string> candidates;
};

/// Reads the JSON lines of `log` and appends to `found` what they say about
/// `name`: decisions with that subject or choice, and events that name it.
/// Lines that are cut off or no JSON are passed over.
void collect_explanations(std::istream& log, const std::string& name,
                          std::vector<explanation>& found);

/// Orders explanations by their time, and writes them as text.
void write_text(std::ostream& out, std::vector<explanation> found);

/// Orders explanations by their time, and writes them as a JSON array.
void write_json(std::ostream& out, std::vector<explanation> found);

} // namespace hibiscus::ctl
