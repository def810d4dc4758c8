// Measures the slopes of docs/CAPACITY.md: tables filled to full size in this
// process, sizes of messages, and processor time and memory of real nodes that
// only watch each other and their engines.

#include "full_tables.hpp"

#include "support/test_cluster.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <iostream>

ABSL_FLAG(std::string, programs, "build", "the build folder");
ABSL_FLAG(std::vector<std::string>, nodes,
          std::vector<std::string>({"3", "9", "20", "30"}),
          "counts of nodes to run; empty for none");
ABSL_FLAG(int, engines, 0, "engines beside the nodes");
ABSL_FLAG(int, seconds, 8, "how long the nodes are watched");
ABSL_FLAG(bool, fills, true, "fill tables in this process");

namespace hibiscus::testing {
namespace {

constexpr int zones = 3;
constexpr base::millis settling_time_ms = 2000;

void print(const std::vector<measurement>& all) {
    for (const auto& f : all) {
        std::printf("| %s | %s | %.4g %s |\n", f.name.c_str(), f.size.c_str(),
                    f.value, f.unit.c_str());
    }
}

std::string zone_name(int i) {
    return "z" + std::to_string(i % zones + 1);
}

std::string document_text() {
    return R"({"schema":1,"owners":[{"name":"o"}],)"
           R"("pools":[{"name":"shared","owner":"o"}],)"
           R"("trainers":[{"name":"t","owner":"o","pool":"shared"}]})";
}

/// Runs `count` nodes without requests and prints what one of them takes.
bool measure_idle_nodes(int count, int engines) {
    test_cluster s(absl::GetFlag(FLAGS_programs));
    s.start_platform();
    for (int i = 0; i < count; ++i) {
        s.start_node("127.1." + std::to_string(i % zones + 1) + "." +
                         std::to_string(i / zones + 1),
                     zone_name(i), "log_level: warn\n");
    }
    for (int i = 0; i < engines; ++i) {
        s.start_engine("shared", zone_name(i));
    }
    if (s.publish_document(document_text()) != 0 || !s.wait_until_ready()) {
        std::cerr << "capacity: " << count << " nodes did not get ready\n";
        return false;
    }
    pause_for(settling_time_ms);
    const base::clock clock;
    const auto begin = clock.now();
    double before = 0;
    for (auto& n : s.nodes()) {
        before += cpu_time_ms(n.daemon->pid());
    }
    pause_for(1000 * absl::GetFlag(FLAGS_seconds));
    double after = 0;
    double memory = 0;
    for (auto& n : s.nodes()) {
        after += cpu_time_ms(n.daemon->pid());
        memory += resident_bytes(n.daemon->pid());
    }
    const auto passed = static_cast<double>(clock.now() - begin);
    std::printf("| idle node | %d nodes, %d engines | %.2f %% of a core, "
                "%.1f MB |\n",
                count, engines, 100.0 * (after - before) / passed / count,
                memory / count / 1e6);
    std::fflush(stdout);
    return true;
}

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using namespace hibiscus::testing;
    if (absl::GetFlag(FLAGS_fills)) {
        print(measure_heartbeats());
        print(measure_full_tables());
    }
    bool whole = true;
    for (const auto& count : absl::GetFlag(FLAGS_nodes)) {
        whole = measure_idle_nodes(std::stoi(count),
                                   absl::GetFlag(FLAGS_engines)) &&
                whole;
    }
    return whole ? 0 : 1;
}
