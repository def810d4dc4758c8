#include "run.hpp"

#include "support/system.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <numeric>
#include <sstream>

namespace hibiscus::testing {

namespace {

using nlohmann::json;

constexpr int services = 2;
constexpr base::millis client_limit = 180000;

/// The counters of all engines at one time.
struct engine_counts {
    double started = 0;
    double busy_slot_ms = 0;
    double alive_ms = 0;
};

/// What the trainers of a run saw.
struct trainers_seen {
    double got = 0;
    double wanted = 0;
    double wrong = 0;
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
json last_object(const std::string& text) {
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

std::vector<std::string> start_all(system& s, const workload& load,
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
    for (int i = 0; i < services; ++i) {
        s.start_service("ledger", zone(i));
    }
    return engines;
}

engine_counts count(system& s, const std::vector<std::string>& engines) {
    engine_counts all;
    for (const auto& name : engines) {
        const auto seen =
            json::parse(s.ask(name, "GET", "/v1/counts"), nullptr, false);
        if (seen.is_object()) {
            all.started += seen.value("started", 0.0);
            all.busy_slot_ms += seen.value("busy_slot_ms", 0.0);
            all.alive_ms += seen.value("alive_ms", 0.0);
        }
    }
    return all;
}

process& start_trainer(system& s, const workload& load, const trainer_load& t,
                       int steps, int seed) {
    return s.start_client(
        "trainer", seeded_name(t, seed),
        {"--steps=" + std::to_string(steps),
         "--groups=" + std::to_string(t.groups),
         "--group_size=" + std::to_string(t.group_size),
         "--max_tokens=" + std::to_string(t.max_tokens),
         "--train_ms=" + std::to_string(t.train_ms),
         "--bound=" + std::to_string(load.staleness_bound),
         "--weights=" + base::to_string(s.address("weights"))});
}

void add(trainers_seen& all, const json& seen) {
    all.got += seen.value("got", 0.0);
    all.wanted += seen.value("wanted", 1.0);
    all.wrong += seen.value("duplicates", 1.0) + seen.value("stale", 1.0) +
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

measures summarise(const trainers_seen& seen, const json& app,
                   const engine_counts& before, const engine_counts& after,
                   int slots) {
    const auto started = after.started - before.started;
    const auto slot_ms = (after.alive_ms - before.alive_ms) * slots;
    return {{measure::trainer_idle, seen.idle_ms / seen.total_ms},
            {measure::warm_idle, (seen.idle_ms - seen.first_wait_ms) /
                                     (seen.total_ms - seen.first_wait_ms)},
            {measure::staleness, seen.staleness_sum / seen.got},
            {measure::step_p50_ms, percentile(seen.step_ms, 0.5)},
            {measure::step_p99_ms, percentile(seen.step_ms, 0.99)},
            {measure::lookup_p50_ms, app.value("lookup_p50_ms", 0.0)},
            {measure::lookup_p99_ms, app.value("lookup_p99_ms", 0.0)},
            {measure::sync_p99_ms, app.value("sync_p99_ms", 0.0)},
            {measure::goodput, seen.got * 1000.0 / seen.longest_ms},
            {measure::engine_busy,
             (after.busy_slot_ms - before.busy_slot_ms) / slot_ms},
            {measure::regenerated_share, (started - seen.got) / started},
            {measure::first_step_ms, seen.mean_step_ms.at(0)},
            {measure::second_step_ms, seen.mean_step_ms.at(1)}};
}

} // namespace

measures run_once(const std::string& programs, const workload& load,
                  const variant& side, int steps, int seed) {
    system s(programs);
    const auto engines = start_all(s, load, side);
    if (s.publish(make_document(load, side, seed)) != 0 || !s.wait_ready()) {
        return {};
    }
    const auto before = count(s, engines);
    std::vector<process*> trainers;
    for (const auto& t : load.trainers) {
        trainers.push_back(&start_trainer(s, load, t, steps, seed));
    }
    auto& app = s.start_client("app", "app", {"--seconds=5", "--callers=2"});
    trainers_seen seen;
    for (auto* t : trainers) {
        t->wait(client_limit);
        add(seen, last_object(t->output()));
    }
    const auto after = count(s, engines);
    app.wait(client_limit);
    const auto app_seen = last_object(app.output());
    const int lost = app_seen.value("lost", 1) + app_seen.value("wrong", 1);
    if (seen.got < seen.wanted || seen.wrong > 0 || seen.total_ms <= 0 ||
        lost > 0) {
        std::cout << "bench: samples " << seen.got << "/" << seen.wanted
                  << ", wrong " << seen.wrong << ", answers lost or wrong "
                  << lost << ": " << app_seen << std::endl;
        return {};
    }
    auto result = summarise(seen, app_seen, before, after, load.slots);
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
