#include "support/oracle.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace hibiscus::testing {

namespace {

using nlohmann::json;

/// Returns the lines of `text` that are JSON objects.
std::vector<json> parse_json_lines(const std::string& text) {
    std::istringstream lines(text);
    std::string line;
    std::vector<json> found;
    while (std::getline(lines, line)) {
        auto parsed = json::parse(line, nullptr, false);
        if (parsed.is_object()) {
            found.push_back(std::move(parsed));
        }
    }
    return found;
}

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

base::millis longest_interval(std::vector<base::millis> times) {
    std::sort(times.begin(), times.end());
    base::millis longest = 0;
    for (std::size_t i = 1; i < times.size(); ++i) {
        longest = std::max(longest, times[i] - times[i - 1]);
    }
    return longest;
}

/// Adds a violation for a count that is not what it should be.
void check_count(std::vector<violation>& found, violation_kind kind,
                 const json& seen, const char* key, int wanted) {
    const int got = seen.value(key, -1);
    if (got != wanted) {
        found.push_back({kind, std::string(key) + "=" + std::to_string(got)});
    }
}

/// Returns the records of all engines, by their names.
std::map<std::string, json> fetch_engine_records(test_cluster& s) {
    std::map<std::string, json> records;
    for (const auto& [name, row] : s.registered_instances()) {
        if (row.role == wire::instance_role::engine) {
            records[name] = json::parse(
                s.send_request(name, "GET", "/v1/record"), nullptr, false);
        }
    }
    return records;
}

/// Returns true if one of the runs of a stream began with `versions`.
bool is_recorded_run(const json& runs, const json& versions) {
    return std::any_of(runs.begin(), runs.end(), [&](const json& run) {
        return run.size() >= versions.size() &&
               std::equal(versions.begin(), versions.end(), run.begin());
    });
}

} // namespace

std::vector<recorded_response> read_answers(const std::string& file) {
    std::vector<recorded_response> answers;
    for (const auto& row : parse_json_lines(read_file(file))) {
        answers.push_back({row.value("id", ""), row.value("at", base::millis{}),
                           row.value("took_ms", base::millis{}),
                           row.value("result", ""), row.value("why", ""),
                           row.value("retry_after_ms", base::millis{})});
    }
    return answers;
}

base::millis longest_gap(const std::vector<recorded_response>& answers,
                         const std::string& prefix) {
    std::vector<base::millis> times;
    for (const auto& a : answers) {
        if (a.id.rfind(prefix, 0) == 0 && a.result == "completed") {
            times.push_back(a.wall_ms);
        }
    }
    return longest_interval(std::move(times));
}

base::millis longest_wait(const std::vector<recorded_response>& answers,
                          const std::string& prefix) {
    std::map<std::string, base::millis> begun;
    base::millis longest = 0;
    for (const auto& a : answers) {
        if (a.id.rfind(prefix, 0) == 0) {
            const auto at = begun.emplace(a.id, a.wall_ms - a.took_ms).first;
            if (a.result == "completed") {
                longest = std::max(longest, a.wall_ms - at->second);
            }
        }
    }
    return longest;
}

std::vector<std::string>
find_unresolved_requests(const std::vector<recorded_response>& answers) {
    std::map<std::string, std::string> last;
    for (const auto& a : answers) {
        last[a.id] = a.result;
    }
    std::vector<std::string> open;
    for (const auto& [id, result] : last) {
        if (result != "completed" && result != "not_run") {
            open.push_back(id);
        }
    }
    return open;
}

base::millis longest_sample_gap(const std::string& file) {
    std::vector<base::millis> times;
    for (const auto& row : parse_json_lines(read_file(file))) {
        times.push_back(row.value("at", base::millis{}));
    }
    return longest_interval(std::move(times));
}

std::vector<violation> check_trainer_output(test_cluster& s,
                                            const std::string& output,
                                            const std::string& file) {
    std::vector<violation> found;
    const auto lines = parse_json_lines(output);
    if (lines.empty()) {
        return {{violation_kind::client_failed, "trainer: " + output}};
    }
    const auto& seen = lines.back();
    check_count(found, violation_kind::sample_missing, seen, "got",
                seen.value("wanted", 0));
    check_count(found, violation_kind::sample_repeated, seen, "duplicates", 0);
    check_count(found, violation_kind::sample_stale, seen, "stale", 0);
    check_count(found, violation_kind::sample_untrue, seen, "untrue", 0);
    const auto records = fetch_engine_records(s);
    for (const auto& sample : parse_json_lines(read_file(file))) {
        const auto engine = records.find(sample.value("engine", ""));
        const auto stream = sample.value("stream", "");
        // An engine that was killed has taken its record along.
        const bool known =
            engine != records.end() && engine->second.is_object();
        if (known &&
            !is_recorded_run(engine->second.value(stream, json::array()),
                             sample.value("versions", json::array()))) {
            found.push_back({violation_kind::version_untrue, sample.dump()});
        }
    }
    return found;
}

std::vector<violation> check_app_output(const std::string& output) {
    std::vector<violation> found;
    const auto lines = parse_json_lines(output);
    if (lines.empty()) {
        return {{violation_kind::client_failed, "app: " + output}};
    }
    check_count(found, violation_kind::answer_lost, lines.back(), "lost", 0);
    check_count(found, violation_kind::answer_wrong, lines.back(), "wrong", 0);
    return found;
}

std::vector<violation>
check_runs(test_cluster& s, const std::vector<recorded_response>& answers) {
    std::map<std::string, int> runs;
    for (const auto& [name, row] : s.registered_instances()) {
        if (row.role != wire::instance_role::service) {
            continue;
        }
        const auto seen = json::parse(s.send_request(name, "GET", "/v1/runs"),
                                      nullptr, false);
        for (const auto& [key, count] : seen.items()) {
            runs[key] += count.get<int>();
        }
    }
    std::vector<violation> found;
    for (const auto& [key, count] : runs) {
        if (key.rfind("sync-", 0) == 0 && count > 1) {
            found.push_back({violation_kind::run_twice, key});
        }
    }
    std::set<std::string> refused;
    std::set<std::string> others;
    for (const auto& a : answers) {
        (a.result == "not_run" ? refused : others).insert(a.id);
    }
    for (const auto& id : refused) {
        if (others.count(id) == 0 && runs.count(id) != 0) {
            found.push_back({violation_kind::run_after_refusal, id});
        }
    }
    return found;
}

} // namespace hibiscus::testing
