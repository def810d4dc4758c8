// Runs the main job on a small copy of the brief's two deployments: nine
// nodes in three zones, ten engines, five plain services, two trainers and an
// application, with a change of the document and a planned stop on the way.
// The last line is computed from what clients and stand-ins saw.

#include "support/system.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, programs, "build", "the build folder");
ABSL_FLAG(int, steps, 8, "steps of each trainer");
ABSL_FLAG(int, seconds, 14, "how long the application calls");
ABSL_FLAG(bool, keep, false, "keep the logs of all processes");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

std::string document(int bound, double weight) {
    json d{
        {"schema", 1},
        {"owners", {{{"name", "campus"}}, {{"name", "desk"}}}},
        {"pools",
         {{{"name", "shared"}, {"owner", "campus"}, {"slots_per_engine", 8}}}},
        {"trainers",
         {{{"name", "tagger"},
           {"owner", "campus"},
           {"pool", "shared"},
           {"weight", weight},
           {"staleness_bound", bound}},
          {{"name", "drafter"},
           {"owner", "desk"},
           {"pool", "shared"},
           {"staleness_bound", bound}}}},
        {"services", {{{"name", "ledger"}, {"owner", "campus"}}}},
        {"limits", {{"entries_ttl_ms", 1000}}}};
    return d.dump();
}

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

/// What the clients and stand-ins saw.
struct result {
    int steps = 0;
    int got = 0;
    int wanted = 0;
    int duplicates = 0;
    int stale = 0;
    int untrue = 0;
    int lost = 0;
    int double_runs = 0;
    double idle = 0;
    double total = 0;
    double staleness = 0;
    int lookup_p99 = 0;
};

void add_trainer(result& r, const json& seen) {
    r.steps += seen.value("steps", 0);
    r.got += seen.value("got", 0);
    r.wanted += seen.value("wanted", 0);
    r.duplicates += seen.value("duplicates", 0);
    r.stale += seen.value("stale", 0);
    r.untrue += seen.value("untrue", 1);
    r.idle += seen.value("idle_ms", 0.0);
    r.total += seen.value("total_ms", 0.0);
    r.staleness += seen.value("staleness_sum", 0.0);
}

void add_app(result& r, const json& seen) {
    r.lost += seen.value("lost", 1) + seen.value("wrong", 0) +
              seen.value("unknown", 0);
    r.lookup_p99 = seen.value("lookup_p99_ms", 0);
}

void add_runs(result& r, system& s, const std::vector<std::string>& services) {
    std::map<std::string, int> runs;
    for (const auto& name : services) {
        const auto seen =
            json::parse(s.ask(name, "GET", "/v1/runs"), nullptr, false);
        for (const auto& [key, count] : seen.items()) {
            runs[key] += count.get<int>();
        }
    }
    for (const auto& [key, count] : runs) {
        if (key.rfind("sync-", 0) == 0 && count > 1) {
            ++r.double_runs;
        }
    }
}

int print(const result& r) {
    std::printf("demo: steps=%d samples=%d/%d duplicates=%d stale=%d "
                "lost_answers=%d double_runs=%d trainer_idle=%.3f "
                "staleness_mean=%.3f lookup_p99_ms=%d\n",
                r.steps, r.got, r.wanted, r.duplicates, r.stale, r.lost,
                r.double_runs, r.total > 0 ? r.idle / r.total : 1.0,
                r.got > 0 ? r.staleness / r.got : 0.0, r.lookup_p99);
    const bool whole = r.got == r.wanted && r.wanted > 0;
    const bool clean =
        r.duplicates + r.stale + r.untrue + r.lost + r.double_runs == 0;
    return whole && clean ? 0 : 1;
}

int run() {
    system s(absl::GetFlag(FLAGS_programs));
    if (absl::GetFlag(FLAGS_keep)) {
        s.keep();
        std::cout << "demo: logs in " << s.path("") << std::endl;
    }
    const std::vector<std::string> zones{"z1", "z2", "z3"};
    s.start_platform();
    for (int i = 0; i < 9; ++i) {
        const auto zone = static_cast<std::size_t>(i % 3);
        s.start_node("127.0." + std::to_string(zone + 1) + "." +
                         std::to_string(i / 3 + 1),
                     zones[zone]);
    }
    std::vector<std::string> services;
    for (std::size_t i = 0; i < 10; ++i) {
        s.start_engine("shared", zones[i % 3]);
    }
    for (std::size_t i = 0; i < 5; ++i) {
        services.push_back(s.start_service("ledger", zones[i % 3]));
    }
    std::cout << "demo: 9 nodes, 10 engines, 5 services started" << std::endl;
    if (s.publish(document(1, 1.0)) != 0 || !s.wait_ready()) {
        std::cout << "demo: the system did not become ready" << std::endl;
        return 1;
    }
    std::cout << "demo: first document in force everywhere" << std::endl;
    const auto steps = "--steps=" + std::to_string(absl::GetFlag(FLAGS_steps));
    const auto weights = "--weights=" + base::to_string(s.address("weights"));
    std::vector<process*> trainers;
    for (const char* name : {"tagger", "drafter"}) {
        trainers.push_back(&s.start_client("trainer", name, {steps, weights}));
    }
    auto& app = s.start_client(
        "app", "app",
        {"--seconds=" + std::to_string(absl::GetFlag(FLAGS_seconds))});
    pause_for(3000);
    const int changed = s.publish(document(1, 2.0));
    std::cout << "demo: second document published, exit code " << changed
              << std::endl;
    pause_for(2000);
    s.nodes()[4].running->signal(SIGTERM);
    std::cout << "demo: planned stop of " << s.nodes()[4].name << std::endl;
    const auto stopped = s.nodes()[4].running->wait(20000);
    std::cout << "demo: " << s.nodes()[4].name << " ended with "
              << stopped.value_or(-1) << std::endl;
    result r;
    for (auto* t : trainers) {
        t->wait(60000);
        add_trainer(r, last_object(t->output()));
    }
    app.wait(60000);
    add_app(r, last_object(app.output()));
    add_runs(r, s, services);
    const int code = print(r);
    return changed == 0 && stopped == 0 ? code : 1;
}

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    return hibiscus::testing::run();
}
