#pragma once

#include "hibiscus/base/clock.hpp"

#include <iosfwd>
#include <set>
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
    /// The service that the line names; may be empty.
    std::string service;
};

/// Selects the lines about the state of services around the time of what is
/// explained.
struct service_query {
    std::set<std::string> services;
    base::millis from = 0;
    base::millis to = 0;
};

/// Reads the JSON lines of `log`. Appends the decisions and events that have
/// `name` as the value of a field to `explanations`. Ignores lines that are
/// truncated or not JSON.
void collect_explanations(std::istream& log, const std::string& name,
                          std::vector<explanation>& explanations);

/// Returns the query for the state of the services that the explanations name,
/// from some time before the first explanation to the last one.
service_query make_service_query(const std::vector<explanation>& explanations);

/// Reads the JSON lines of `log`. Appends the lines that tell that a service of
/// the query was short of room, and who was served.
void collect_shortages(std::istream& log, const service_query& query,
                       std::vector<explanation>& explanations);

/// Writes explanations as text, ordered by time.
void write_text(std::ostream& out, std::vector<explanation> explanations);

/// Writes explanations as a JSON array, ordered by time.
void write_json(std::ostream& out, std::vector<explanation> explanations);

} // namespace hibiscus::ctl
