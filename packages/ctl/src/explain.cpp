#include "hibiscus/ctl/explain.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <istream>
#include <optional>
#include <ostream>

namespace hibiscus::ctl {

namespace {

using nlohmann::json;

/// The events that tell that a service is short of room.
constexpr std::array<const char*, 5> shortage_events{
    "shortage", "step_shortage", "scoring_lag", "scaling_demand",
    "scaling_limit"};

/// How long before what is explained a shortage may have begun, in ms.
constexpr base::millis shortage_lookback_ms = 10000;

/// Returns the string value of `key`, or "" if there is none.
std::string string_or_empty(const json& line, const char* key) {
    const auto it = line.find(key);
    return it != line.end() && it->is_string() ? it->get<std::string>() : "";
}

/// Returns true if a field of `line` has the value `name`.
bool mentions(const json& line, const std::string& name) {
    return std::any_of(line.begin(), line.end(), [&](const json& value) {
        return value.is_string() && value.get<std::string>() == name;
    });
}

/// Formats the fields of an event in one line.
std::string format_fields(const json& line) {
    std::string result;
    for (const auto& [key, value] : line.items()) {
        if (key == "event" || key == "node" || key == "time_ms" || key == "t" ||
            key == "mono" || key == "level") {
            continue;
        }
        result += result.empty() ? "" : ", ";
        result += key + " " +
                  (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return result;
}

/// Returns the wall-clock time of a line, in ms; 0 if it has none.
base::millis time_of(const json& line) {
    for (const auto* key : {"time_ms", "t"}) {
        const auto time = line.find(key);
        if (time != line.end() && time->is_number_integer()) {
            return time->get<base::millis>();
        }
    }
    return 0;
}

explanation explain_line(const json& line) {
    explanation e;
    e.time = time_of(line);
    e.node = string_or_empty(line, "node");
    e.service = string_or_empty(line, "service");
    if (string_or_empty(line, "event") != "decision") {
        e.kind = string_or_empty(line, "event");
        e.reason = format_fields(line);
        return e;
    }
    e.kind = string_or_empty(line, "kind");
    e.subject = string_or_empty(line, "subject");
    e.choice = string_or_empty(line, "choice");
    e.reason = string_or_empty(line, "reason");
    for (const auto& c : line.value("candidates", json::array())) {
        e.candidates.push_back(c.is_string() ? c.get<std::string>() : c.dump());
    }
    return e;
}

void sort_by_time(std::vector<explanation>& explanations) {
    std::stable_sort(explanations.begin(), explanations.end(),
                     [](const explanation& a, const explanation& b) {
                         return a.time < b.time;
                     });
}

} // namespace

void collect_explanations(std::istream& log, const std::string& name,
                          std::vector<explanation>& explanations) {
    std::string text;
    while (std::getline(log, text)) {
        const auto line = json::parse(text, nullptr, false);
        if (line.is_object() && mentions(line, name)) {
            explanations.push_back(explain_line(line));
        }
    }
}

service_query make_service_query(const std::vector<explanation>& explanations) {
    service_query query;
    for (const auto& e : explanations) {
        const bool is_first = query.to == 0;
        query.from = is_first ? e.time : std::min(query.from, e.time);
        query.to = std::max(query.to, e.time);
        if (!e.service.empty()) {
            query.services.insert(e.service);
        }
    }
    query.from -= shortage_lookback_ms;
    return query;
}

void collect_shortages(std::istream& log, const service_query& query,
                       std::vector<explanation>& explanations) {
    std::string text;
    while (std::getline(log, text)) {
        const auto line = json::parse(text, nullptr, false);
        if (!line.is_object()) {
            continue;
        }
        const auto event = string_or_empty(line, "event");
        const auto time = time_of(line);
        if (std::find(shortage_events.begin(), shortage_events.end(), event) !=
                shortage_events.end() &&
            query.services.count(string_or_empty(line, "service")) != 0 &&
            time >= query.from && time <= query.to) {
            explanations.push_back(explain_line(line));
        }
    }
}

void write_text(std::ostream& out, std::vector<explanation> explanations) {
    sort_by_time(explanations);
    for (const auto& e : explanations) {
        out << e.time << ' ' << e.node << ": " << e.kind;
        if (!e.subject.empty()) {
            out << ' ' << e.subject << " -> " << e.choice;
        }
        if (!e.reason.empty()) {
            out << " (" << e.reason << ')';
        }
        if (!e.candidates.empty()) {
            out << ", of";
            for (const auto& c : e.candidates) {
                out << ' ' << c;
            }
        }
        out << '\n';
    }
}

void write_json(std::ostream& out, std::vector<explanation> explanations) {
    sort_by_time(explanations);
    json rows = json::array();
    for (const auto& e : explanations) {
        rows.push_back({{"time_ms", e.time},
                        {"node", e.node},
                        {"kind", e.kind},
                        {"subject", e.subject},
                        {"choice", e.choice},
                        {"reason", e.reason},
                        {"candidates", e.candidates}});
    }
    out << rows.dump(2) << '\n';
}

} // namespace hibiscus::ctl
