// Measures the growth rates of docs/CAPACITY.md: the cost of full tables in
// this process, message sizes, and the processor time and memory of real nodes
// that exchange only heartbeats and poll their engines.

#include "full_tables.hpp"

#include "support/test_cluster.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <iostream>

ABSL_FLAG(std::string, programs, "build", "build directory");
ABSL_FLAG(std::vector<std::string>, nodes,
          std::vector<std::string>({"3", "9", "20", "30"}),
          "node counts to measure, separated by commas; empty for none");
ABSL_FLAG(int, engines, 0, "number of engines in each measurement");
ABSL_FLAG(int, seconds, 8, "duration of a measurement in seconds");
ABSL_FLAG(bool, fills, true, "measure full tables in this process");

namespace hibiscus::testing {
namespace {

constexpr int zone_count = 3;
constexpr base::millis warm_up_ms = 2000;

void print(const std::vector<measurement>& measurements) {
    for (const auto& m : measurements) {
        std::printf("| %s | %s | %.4g %s |\n", m.name.c_str(), m.size.c_str(),
                    m.value, m.unit.c_str());
    }
}

std::string zone_name(int index) {
    return "z" + std::to_string(index % zone_count + 1);
}

std::string make_document_text() {
    return R"({"schema":1,"owners":[{"name":"o"}],)"
           R"("pools":[{"name":"shared","owner":"o"}],)"
           R"("trainers":[{"name":"t","owner":"o","pool":"shared"}]})";
}

/// Runs `count` nodes without requests and prints the mean processor time and
/// memory of a node. Returns false if the nodes do not become ready.
bool measure_idle_nodes(int count, int engines) {
    test_cluster cluster(absl::GetFlag(FLAGS_programs));
    cluster.start_platform();
    for (int i = 0; i < count; ++i) {
        cluster.start_node("127.1." + std::to_string(i % zone_count + 1) + "." +
                               std::to_string(i / zone_count + 1),
                           zone_name(i), "log_level: warn\n");
    }
    for (int i = 0; i < engines; ++i) {
        cluster.start_engine("shared", zone_name(i));
    }
    if (cluster.publish_document(make_document_text()) != 0 ||
        !cluster.wait_until_ready()) {
        std::cerr << "capacity: " << count << " nodes did not become ready\n";
        return false;
    }
    pause_for(warm_up_ms);
    const base::clock clock;
    const auto started_at = clock.now();
    double cpu_ms_before = 0;
    for (auto& node : cluster.nodes()) {
        cpu_ms_before += cpu_time_ms(node.daemon->pid());
    }
    pause_for(1000 * absl::GetFlag(FLAGS_seconds));
    double cpu_ms_after = 0;
    double total_bytes = 0;
    for (auto& node : cluster.nodes()) {
        cpu_ms_after += cpu_time_ms(node.daemon->pid());
        total_bytes += resident_bytes(node.daemon->pid());
    }
    const auto elapsed_ms = static_cast<double>(clock.now() - started_at);
    std::printf("| idle node | %d nodes, %d engines | %.2f %% of a core, "
                "%.1f MB |\n",
                count, engines,
                100.0 * (cpu_ms_after - cpu_ms_before) / elapsed_ms / count,
                total_bytes / count / 1e6);
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
    bool all_measured = true;
    for (const auto& count : absl::GetFlag(FLAGS_nodes)) {
        all_measured = measure_idle_nodes(std::stoi(count),
                                          absl::GetFlag(FLAGS_engines)) &&
                       all_measured;
    }
    return all_measured ? 0 : 1;
}
