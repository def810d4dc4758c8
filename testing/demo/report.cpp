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
    json last_object = json::object();
    while (std::getline(lines, line)) {
        const auto parsed = json::parse(line, nullptr, false);
        if (parsed.is_object()) {
            last_object = parsed;
        }
    }
    return last_object;
}

} // namespace

void add_trainer_output(demo_report& report, const std::string& output) {
    const auto summary = parse_last_json_object(output);
    report.steps += summary.value("steps", 0);
    report.received_samples += summary.value("got", 0);
    report.requested_samples += summary.value("wanted", 0);
    report.duplicates += summary.value("duplicates", 0);
    report.stale += summary.value("stale", 0);
    report.text_mismatches += summary.value("untrue", 1);
    report.idle_ms += summary.value("idle_ms", 0.0);
    report.total_ms += summary.value("total_ms", 0.0);
    report.staleness_sum += summary.value("staleness_sum", 0.0);
}

void add_app_output(demo_report& report, const std::string& output) {
    const auto summary = parse_last_json_object(output);
    report.failed_requests += summary.value("lost", 1) +
                              summary.value("wrong", 0) +
                              summary.value("unknown", 0);
    report.lookup_p99_ms =
        std::max(report.lookup_p99_ms, summary.value("lookup_p99_ms", 0));
}

void add_duplicate_runs(demo_report& report, test_cluster& cluster) {
    report.duplicate_runs += static_cast<int>(check_runs(cluster, {}).size());
}

bool is_clean(const demo_report& report) {
    const bool is_complete =
        report.received_samples == report.requested_samples &&
        report.requested_samples > 0;
    return is_complete &&
           report.duplicates + report.stale + report.text_mismatches +
                   report.failed_requests + report.duplicate_runs ==
               0;
}

void print(const demo_report& report) {
    std::printf("demo: steps=%d samples=%d/%d duplicates=%d stale=%d "
                "lost_answers=%d double_runs=%d trainer_idle=%.3f "
                "staleness_mean=%.3f lookup_p99_ms=%d\n",
                report.steps, report.received_samples, report.requested_samples,
                report.duplicates, report.stale, report.failed_requests,
                report.duplicate_runs,
                report.total_ms > 0 ? report.idle_ms / report.total_ms : 1.0,
                report.received_samples > 0
                    ? report.staleness_sum / report.received_samples
                    : 0.0,
                report.lookup_p99_ms);
}

} // namespace hibiscus::testing
