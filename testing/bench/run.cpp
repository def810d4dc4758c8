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

/// The counters of all engines at one time.
struct engine_counters {
    double started = 0;
    double busy_slot_ms = 0;
    double alive_ms = 0;
};

/// What the trainers of a run saw.
struct trainer_totals {
    double received_samples = 0;
    double requested_samples = 0;
    double violations = 0;
    double idle_ms = 0;
    double total_ms = 0;
    double longest_ms = 0;
    /// The trainers' waits for their first steps.
    double first_wait_ms = 0;
    double staleness_sum = 0;
    std::vector<double> step_ms;
    /// The mean time of a step of each trainer.
    std::vector<double> mean_step_ms;
};

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

std::vector<std::string> start_cluster(test_cluster& s, const workload& load,
                                       const variant& side) {
    const auto zone = [&](int i) {
        return "z" + std::to_string(i % load.zones);
    };
    s.start_platform();
    for (int i = 0; i < load.nodes; ++i) {
        s.start_node(
            "127.0." + std::to_string(i % load.zones + 1) + "." +
                std::to_string(i / load.zones + 1),
            zone(i),
            "cluster:\n  heartbeat_ms: " + std::to_string(side.heartbeat_ms) +
                "\n  member_timeout_ms: 10000\nlog_level: warn\n");
    }
    std::vector<std::string> engines;
    for (const auto& kind : load.engines) {
        for (int i = 0; i < kind.count; ++i) {
            engines.push_back(s.start_engine(
                "shared", zone(i),
                {"--slots=" + std::to_string(load.slots),
                 "--chunk_ms=" + std::to_string(kind.chunk_ms),
                 "--prefill_chunks=" + std::to_string(load.prefill_chunks),
                 "--straggler_percent=" +
                     std::to_string(load.straggler_percent)}));
        }
    }
    for (int i = 0; i < service_count; ++i) {
        s.start_service("ledger", zone(i));
    }
    return engines;
}

engine_counters sum_engine_counters(test_cluster& s,
                                    const std::vector<std::string>& engines) {
    engine_counters all;
    for (const auto& name : engines) {
        const auto seen = json::parse(s.send_request(name, "GET", "/v1/counts"),
                                      nullptr, false);
        if (seen.is_object()) {
            all.started += seen.value("started", 0.0);
            all.busy_slot_ms += seen.value("busy_slot_ms", 0.0);
            all.alive_ms += seen.value("alive_ms", 0.0);
        }
    }
    return all;
}

process& start_trainer(test_cluster& s, const workload& load,
                       const trainer_load& t, int steps, int seed) {
    return s.start_client(
        "trainer", seeded_name(t, seed),
        {"--steps=" + std::to_string(steps),
         "--groups=" + std::to_string(t.groups),
         "--group_size=" + std::to_string(t.group_size),
         "--max_tokens=" + std::to_string(t.max_tokens),
         "--train_ms=" + std::to_string(t.train_ms),
         "--bound=" + std::to_string(load.staleness_bound),
         "--weights=" + base::to_string(s.address_of("weights"))});
}

void add_trainer_result(trainer_totals& all, const json& seen) {
    all.received_samples += seen.value("got", 0.0);
    all.requested_samples += seen.value("wanted", 1.0);
    all.violations += seen.value("duplicates", 1.0) + seen.value("stale", 1.0) +
                      seen.value("untrue", 1.0);
    all.idle_ms += seen.value("idle_ms", 0.0);
    const auto waits = seen.value("step_ms", std::vector<double>());
    all.first_wait_ms += waits.empty() ? 0.0 : waits.front();
    const auto total = seen.value("total_ms", 0.0);
    all.total_ms += total;
    all.longest_ms = std::max(all.longest_ms, total);
    all.staleness_sum += seen.value("staleness_sum", 0.0);
    const auto steps = seen.value("completion_ms", std::vector<double>());
    all.step_ms.insert(all.step_ms.end(), steps.begin(), steps.end());
    all.mean_step_ms.push_back(mean(steps));
}

measure_values compute_measures(const trainer_totals& seen, const json& app,
                                const engine_counters& before,
                                const engine_counters& after, int slots) {
    const auto started = after.started - before.started;
    const auto slot_ms = (after.alive_ms - before.alive_ms) * slots;
    return {
        {measure::trainer_idle, seen.idle_ms / seen.total_ms},
        {measure::warm_idle, (seen.idle_ms - seen.first_wait_ms) /
                                 (seen.total_ms - seen.first_wait_ms)},
        {measure::staleness, seen.staleness_sum / seen.received_samples},
        {measure::step_p50_ms, percentile(seen.step_ms, 0.5)},
        {measure::step_p99_ms, percentile(seen.step_ms, 0.99)},
        {measure::lookup_p50_ms, app.value("lookup_p50_ms", 0.0)},
        {measure::lookup_p99_ms, app.value("lookup_p99_ms", 0.0)},
        {measure::sync_p99_ms, app.value("sync_p99_ms", 0.0)},
        {measure::goodput, seen.received_samples * 1000.0 / seen.longest_ms},
        {measure::engine_busy,
         (after.busy_slot_ms - before.busy_slot_ms) / slot_ms},
        {measure::regenerated_share,
         (started - seen.received_samples) / started},
        {measure::first_step_ms, seen.mean_step_ms.at(0)},
        {measure::second_step_ms, seen.mean_step_ms.at(1)}};
}

} // namespace

measure_values run_variant(const std::string& programs, const workload& load,
                           const variant& side, int steps, int seed) {
    test_cluster s(programs);
    const auto engines = start_cluster(s, load, side);
    if (s.publish_document(make_document(load, side, seed)) != 0 ||
        !s.wait_until_ready()) {
        return {};
    }
    const auto before = sum_engine_counters(s, engines);
    std::vector<process*> trainers;
    for (const auto& t : load.trainers) {
        trainers.push_back(&start_trainer(s, load, t, steps, seed));
    }
    auto& app = s.start_client("app", "app", {"--seconds=5", "--callers=2"});
    trainer_totals seen;
    for (auto* t : trainers) {
        t->wait_for_exit(client_timeout_ms);
        add_trainer_result(seen, parse_last_json_object(t->output()));
    }
    const auto after = sum_engine_counters(s, engines);
    app.wait_for_exit(client_timeout_ms);
    const auto app_seen = parse_last_json_object(app.output());
    const int lost = app_seen.value("lost", 1) + app_seen.value("wrong", 1);
    if (seen.received_samples < seen.requested_samples || seen.violations > 0 ||
        seen.total_ms <= 0 || lost > 0) {
        std::cout << "bench: samples " << seen.received_samples << "/"
                  << seen.requested_samples << ", wrong " << seen.violations
                  << ", answers lost or wrong " << lost << ": " << app_seen
                  << std::endl;
        return {};
    }
    auto result = compute_measures(seen, app_seen, before, after, load.slots);
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
