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

/// Adds a violation if the count under `key` differs from `expected`.
void check_count(std::vector<violation>& found, violation_kind kind,
                 const json& counts, const char* key, int expected) {
    const int actual = counts.value(key, -1);
    if (actual != expected) {
        found.push_back(
            {kind, std::string(key) + "=" + std::to_string(actual)});
    }
}

/// Returns the run records of all engines by engine name.
std::map<std::string, json> fetch_engine_records(test_cluster& cluster) {
    std::map<std::string, json> records;
    for (const auto& [name, row] : cluster.registered_instances()) {
        if (row.role == wire::instance_role::engine) {
            records[name] =
                json::parse(cluster.send_request(name, "GET", "/v1/record"),
                            nullptr, false);
        }
    }
    return records;
}

/// Returns true if one of the recorded runs of a stream began with `versions`.
bool is_recorded_run(const json& runs, const json& versions) {
    return std::any_of(runs.begin(), runs.end(), [&](const json& run) {
        return run.size() >= versions.size() &&
               std::equal(versions.begin(), versions.end(), run.begin());
    });
}

} // namespace

std::vector<recorded_response> read_answers(const std::string& file) {
    std::vector<recorded_response> responses;
    for (const auto& row : parse_json_lines(read_file(file))) {
        responses.push_back({row.value("id", ""),
                             row.value("at", base::millis{}),
                             row.value("took_ms", base::millis{}),
                             row.value("result", ""), row.value("why", ""),
                             row.value("retry_after_ms", base::millis{})});
    }
    return responses;
}

base::millis longest_gap(const std::vector<recorded_response>& responses,
                         const std::string& prefix) {
    std::vector<base::millis> times;
    for (const auto& a : responses) {
        if (a.id.rfind(prefix, 0) == 0 && a.result == "completed") {
            times.push_back(a.wall_ms);
        }
    }
    return longest_interval(std::move(times));
}

base::millis longest_wait(const std::vector<recorded_response>& responses,
                          const std::string& prefix) {
    std::map<std::string, base::millis> started_at;
    base::millis longest = 0;
    for (const auto& a : responses) {
        if (a.id.rfind(prefix, 0) == 0) {
            const auto start =
                started_at.emplace(a.id, a.wall_ms - a.took_ms).first;
            if (a.result == "completed") {
                longest = std::max(longest, a.wall_ms - start->second);
            }
        }
    }
    return longest;
}

std::vector<std::string>
find_unresolved_requests(const std::vector<recorded_response>& responses) {
    std::map<std::string, std::string> last;
    for (const auto& a : responses) {
        last[a.id] = a.result;
    }
    std::vector<std::string> unresolved;
    for (const auto& [id, result] : last) {
        if (result != "completed" && result != "not_run") {
            unresolved.push_back(id);
        }
    }
    return unresolved;
}

base::millis longest_sample_gap(const std::string& file) {
    std::vector<base::millis> times;
    for (const auto& row : parse_json_lines(read_file(file))) {
        times.push_back(row.value("at", base::millis{}));
    }
    return longest_interval(std::move(times));
}

std::vector<violation> check_trainer_output(test_cluster& cluster,
                                            const std::string& output,
                                            const std::string& file) {
    std::vector<violation> found;
    const auto lines = parse_json_lines(output);
    if (lines.empty()) {
        return {{violation_kind::client_failed, "trainer: " + output}};
    }
    const auto& summary = lines.back();
    check_count(found, violation_kind::sample_missing, summary, "got",
                summary.value("wanted", 0));
    check_count(found, violation_kind::sample_repeated, summary, "duplicates",
                0);
    check_count(found, violation_kind::sample_stale, summary, "stale", 0);
    check_count(found, violation_kind::sample_untrue, summary, "untrue", 0);
    const auto records = fetch_engine_records(cluster);
    for (const auto& sample : parse_json_lines(read_file(file))) {
        const auto engine = records.find(sample.value("engine", ""));
        const auto stream = sample.value("stream", "");
        // The record of an engine that was killed is lost.
        const bool has_record =
            engine != records.end() && engine->second.is_object();
        if (has_record &&
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
check_runs(test_cluster& cluster,
           const std::vector<recorded_response>& responses) {
    std::map<std::string, int> runs;
    for (const auto& [name, row] : cluster.registered_instances()) {
        if (row.role != wire::instance_role::service) {
            continue;
        }
        const auto run_counts = json::parse(
            cluster.send_request(name, "GET", "/v1/runs"), nullptr, false);
        for (const auto& [key, count] : run_counts.items()) {
            runs[key] += count.get<int>();
        }
    }
    std::vector<violation> found;
    for (const auto& [key, count] : runs) {
        if (key.rfind("sync-", 0) == 0 && count > 1) {
            found.push_back({violation_kind::run_twice, key});
        }
    }
    std::set<std::string> refused_ids;
    std::set<std::string> other_ids;
    for (const auto& a : responses) {
        (a.result == "not_run" ? refused_ids : other_ids).insert(a.id);
    }
    for (const auto& id : refused_ids) {
        if (other_ids.count(id) == 0 && runs.count(id) != 0) {
            found.push_back({violation_kind::run_after_refusal, id});
        }
    }
    return found;
}

} // namespace hibiscus::testing
