#include "run.hpp"

#include "support/test_cluster.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <numeric>
#include <sstream>

namespace hibiscus::testing {

namespace {

using nlohmann::json;

constexpr int service_count = 2;
constexpr base::millis client_timeout_ms = 180000;

/// Sums of the counters of all engines.
struct engine_counters {
    double started = 0;
    /// Time that the slots ran a stream, summed over the slots.
    double busy_slot_ms = 0;
    double alive_ms = 0;
};

/// Totals over the trainers of a run.
struct trainer_totals {
    double received_samples = 0;
    double requested_samples = 0;
    double violations = 0;
    double idle_ms = 0;
    double total_ms = 0;
    double max_trainer_total_ms = 0;
    /// Sum of the waits of the trainers for their first steps.
    double first_wait_ms = 0;
    double staleness_sum = 0;
    std::vector<double> completion_ms;
    /// The mean step time of each trainer.
    std::vector<double> mean_completion_ms;
};

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

double mean(const std::vector<double>& values) {
    const auto sum = std::accumulate(values.begin(), values.end(), 0.0);
    return values.empty() ? 0.0 : sum / static_cast<double>(values.size());
}

double percentile(std::vector<double> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1))];
}

std::vector<std::string> start_cluster(test_cluster& cluster,
                                       const workload& load,
                                       const variant& tested_variant) {
    const auto zone = [&](int i) {
        return "z" + std::to_string(i % load.zones);
    };
    cluster.start_platform();
    for (int i = 0; i < load.nodes; ++i) {
        cluster.start_node(
            "127.0." + std::to_string(i % load.zones + 1) + "." +
                std::to_string(i / load.zones + 1),
            zone(i),
            "cluster:\n  heartbeat_ms: " +
                std::to_string(tested_variant.heartbeat_ms) +
                "\n  member_timeout_ms: 10000\nlog_level: warn\n");
    }
    std::vector<std::string> engines;
    for (const auto& group : load.engines) {
        for (int i = 0; i < group.count; ++i) {
            engines.push_back(cluster.start_engine(
                "shared", zone(i),
                {"--slots=" + std::to_string(load.slots),
                 "--chunk_ms=" + std::to_string(group.chunk_ms),
                 "--prefill_chunks=" + std::to_string(load.prefill_chunks),
                 "--straggler_percent=" +
                     std::to_string(load.straggler_percent)}));
        }
    }
    for (int i = 0; i < service_count; ++i) {
        cluster.start_service("ledger", zone(i));
    }
    return engines;
}

engine_counters sum_engine_counters(test_cluster& cluster,
                                    const std::vector<std::string>& engines) {
    engine_counters totals;
    for (const auto& name : engines) {
        const auto counters = json::parse(
            cluster.send_request(name, "GET", "/v1/counts"), nullptr, false);
        if (counters.is_object()) {
            totals.started += counters.value("started", 0.0);
            totals.busy_slot_ms += counters.value("busy_slot_ms", 0.0);
            totals.alive_ms += counters.value("alive_ms", 0.0);
        }
    }
    return totals;
}

process& start_trainer(test_cluster& cluster, const workload& load,
                       const trainer_load& trainer, int steps, int seed) {
    return cluster.start_client(
        "trainer", seeded_name(trainer, seed),
        {"--steps=" + std::to_string(steps),
         "--groups=" + std::to_string(trainer.groups),
         "--group_size=" + std::to_string(trainer.group_size),
         "--max_tokens=" + std::to_string(trainer.max_tokens),
         "--train_ms=" + std::to_string(trainer.train_ms),
         "--bound=" + std::to_string(load.staleness_bound),
         "--weights=" + base::to_string(cluster.address_of("weights"))});
}

void add_trainer_result(trainer_totals& totals, const json& summary) {
    totals.received_samples += summary.value("got", 0.0);
    totals.requested_samples += summary.value("wanted", 1.0);
    totals.violations += summary.value("duplicates", 1.0) +
                         summary.value("stale", 1.0) +
                         summary.value("untrue", 1.0);
    totals.idle_ms += summary.value("idle_ms", 0.0);
    const auto step_waits = summary.value("step_ms", std::vector<double>());
    totals.first_wait_ms += step_waits.empty() ? 0.0 : step_waits.front();
    const auto total = summary.value("total_ms", 0.0);
    totals.total_ms += total;
    totals.max_trainer_total_ms = std::max(totals.max_trainer_total_ms, total);
    totals.staleness_sum += summary.value("staleness_sum", 0.0);
    const auto completions =
        summary.value("completion_ms", std::vector<double>());
    totals.completion_ms.insert(totals.completion_ms.end(), completions.begin(),
                                completions.end());
    totals.mean_completion_ms.push_back(mean(completions));
}

measure_values compute_measures(const trainer_totals& totals,
                                const json& app_summary,
                                const engine_counters& counters_before,
                                const engine_counters& counters_after,
                                int slots) {
    const auto started = counters_after.started - counters_before.started;
    const auto slot_ms =
        (counters_after.alive_ms - counters_before.alive_ms) * slots;
    return {
        {measure::trainer_idle_share, totals.idle_ms / totals.total_ms},
        {measure::idle_share_after_first_step,
         (totals.idle_ms - totals.first_wait_ms) /
             (totals.total_ms - totals.first_wait_ms)},
        {measure::staleness, totals.staleness_sum / totals.received_samples},
        {measure::step_p50_ms, percentile(totals.completion_ms, 0.5)},
        {measure::step_p99_ms, percentile(totals.completion_ms, 0.99)},
        {measure::lookup_p50_ms, app_summary.value("lookup_p50_ms", 0.0)},
        {measure::lookup_p99_ms, app_summary.value("lookup_p99_ms", 0.0)},
        {measure::sync_p99_ms, app_summary.value("sync_p99_ms", 0.0)},
        {measure::goodput,
         totals.received_samples * 1000.0 / totals.max_trainer_total_ms},
        {measure::engine_utilization,
         (counters_after.busy_slot_ms - counters_before.busy_slot_ms) /
             slot_ms},
        {measure::regenerated_share,
         (started - totals.received_samples) / started},
        {measure::first_trainer_step_ms, totals.mean_completion_ms.at(0)},
        {measure::second_trainer_step_ms, totals.mean_completion_ms.at(1)}};
}

} // namespace

measure_values run_variant(const std::string& programs, const workload& load,
                           const variant& tested_variant, int steps, int seed) {
    test_cluster cluster(programs);
    const auto engines = start_cluster(cluster, load, tested_variant);
    if (cluster.publish_document(make_document(load, tested_variant, seed)) !=
            0 ||
        !cluster.wait_until_ready()) {
        return {};
    }
    const auto counters_before = sum_engine_counters(cluster, engines);
    std::vector<process*> trainers;
    for (const auto& trainer : load.trainers) {
        trainers.push_back(&start_trainer(cluster, load, trainer, steps, seed));
    }
    auto& app =
        cluster.start_client("app", "app", {"--seconds=5", "--callers=2"});
    trainer_totals totals;
    for (auto* trainer : trainers) {
        trainer->wait_for_exit(client_timeout_ms);
        add_trainer_result(totals, parse_last_json_object(trainer->output()));
    }
    const auto counters_after = sum_engine_counters(cluster, engines);
    app.wait_for_exit(client_timeout_ms);
    const auto app_summary = parse_last_json_object(app.output());
    const int failed_responses =
        app_summary.value("lost", 1) + app_summary.value("wrong", 1);
    if (totals.received_samples < totals.requested_samples ||
        totals.violations > 0 || totals.total_ms <= 0 || failed_responses > 0) {
        std::cout << "bench: samples " << totals.received_samples << "/"
                  << totals.requested_samples << ", wrong " << totals.violations
                  << ", responses lost or wrong " << failed_responses << ": "
                  << app_summary << std::endl;
        return {};
    }
    auto result = compute_measures(totals, app_summary, counters_before,
                                   counters_after, load.slots);
    result[measure::idle_floor] = idle_floor(load, steps, seed);
    return result;
}

double median(std::vector<double> values) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle]
                                  : (values[middle - 1] + values[middle]) / 2;
}

} // namespace hibiscus::testing
