#include "hibiscus/ctl/explain.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <istream>
#include <optional>
#include <ostream>

namespace hibiscus::ctl {

namespace {

using nlohmann::json;

/// Returns the text under `key`, or "" if there is none.
std::string text_of(const json& line, const char* key) {
    const auto at = line.find(key);
    return at != line.end() && at->is_string() ? at->get<std::string>() : "";
}

bool mentions(const json& line, const std::string& name) {
    return std::any_of(line.begin(), line.end(), [&](const json& value) {
        return value.is_string() && value.get<std::string>() == name;
    });
}

/// Returns the fields of an event in one line.
std::string fields_of(const json& line) {
    std::string result;
    for (const auto& [key, value] : line.items()) {
        if (key == "event" || key == "node" || key == "time_ms" ||
            key == "level") {
            continue;
        }
        result += result.empty() ? "" : ", ";
        result += key + " " +
                  (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return result;
}

std::optional<explanation> explain_line(const json& line,
                                        const std::string& name) {
    if (!line.is_object() || !mentions(line, name)) {
        return std::nullopt;
    }
    explanation e;
    const auto time = line.find("time_ms");
    if (time != line.end() && time->is_number_integer()) {
        e.time = time->get<base::millis>();
    }
    e.node = text_of(line, "node");
    if (text_of(line, "event") != "decision") {
        e.kind = text_of(line, "event");
        e.reason = fields_of(line);
        return e;
    }
    e.kind = text_of(line, "kind");
    e.subject = text_of(line, "subject");
    e.choice = text_of(line, "choice");
    e.reason = text_of(line, "reason");
    for (const auto& c : line.value("candidates", json::array())) {
        e.candidates.push_back(c.is_string() ? c.get<std::string>() : c.dump());
    }
    return e;
}

void sort_by_time(std::vector<explanation>& found) {
    std::stable_sort(found.begin(), found.end(),
                     [](const explanation& a, const explanation& b) {
                         return a.time < b.time;
                     });
}

} // namespace

void collect_explanations(std::istream& log, const std::string& name,
                          std::vector<explanation>& found) {
    std::string text;
    while (std::getline(log, text)) {
        const auto line = json::parse(text, nullptr, false);
        if (auto e = explain_line(line, name)) {
            found.push_back(std::move(*e));
        }
    }
}

void write_text(std::ostream& out, std::vector<explanation> found) {
    sort_by_time(found);
    for (const auto& e : found) {
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

void write_json(std::ostream& out, std::vector<explanation> found) {
    sort_by_time(found);
    json rows = json::array();
    for (const auto& e : found) {
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
