#include "demo/report.hpp"

#include "support/oracle.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace hibiscus::testing {

namespace {

using nlohmann::json;

/// Returns the last line of `text` that is a JSON object.
json parse_last_json_object(const std::string& text) {
    std::istringstream lines(text);
    std::string line;
    json found = json::object();
    while (std::getline(lines, line)) {
        const auto parsed = json::parse(line, nullptr, false);
        if (parsed.is_object()) {
            found = parsed;
        }
    }
    return found;
}

} // namespace

void add_trainer_output(run_report& r, const std::string& output) {
    const auto seen = parse_last_json_object(output);
    r.steps += seen.value("steps", 0);
    r.received_samples += seen.value("got", 0);
    r.requested_samples += seen.value("wanted", 0);
    r.duplicates += seen.value("duplicates", 0);
    r.stale += seen.value("stale", 0);
    r.text_mismatches += seen.value("untrue", 1);
    r.idle_ms += seen.value("idle_ms", 0.0);
    r.total_ms += seen.value("total_ms", 0.0);
    r.staleness_sum += seen.value("staleness_sum", 0.0);
}

void add_app_output(run_report& r, const std::string& output) {
    const auto seen = parse_last_json_object(output);
    r.lost_responses += seen.value("lost", 1) + seen.value("wrong", 0) +
                        seen.value("unknown", 0);
    r.lookup_p99_ms = std::max(r.lookup_p99_ms, seen.value("lookup_p99_ms", 0));
}

void add_duplicate_runs(run_report& r, test_cluster& s) {
    r.double_runs += static_cast<int>(check_runs(s, {}).size());
}

bool is_clean(const run_report& r) {
    const bool whole =
        r.received_samples == r.requested_samples && r.requested_samples > 0;
    return whole && r.duplicates + r.stale + r.text_mismatches +
                            r.lost_responses + r.double_runs ==
                        0;
}

void print(const run_report& r) {
    std::printf("demo: steps=%d samples=%d/%d duplicates=%d stale=%d "
                "lost_answers=%d double_runs=%d trainer_idle=%.3f "
                "staleness_mean=%.3f lookup_p99_ms=%d\n",
                r.steps, r.received_samples, r.requested_samples, r.duplicates,
                r.stale, r.lost_responses, r.double_runs,
                r.total_ms > 0 ? r.idle_ms / r.total_ms : 1.0,
                r.received_samples > 0 ? r.staleness_sum / r.received_samples
                                       : 0.0,
                r.lookup_p99_ms);
}

} // namespace hibiscus::testing
