// Compares variants of a decision on real processes. In each round all
// variants run once with the same seed, so that what else the machine does
// meanwhile falls on all of them alike; the medians over the rounds count.

#include "report.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, programs, "build", "the build folder");
ABSL_FLAG(std::vector<std::string>, builds, std::vector<std::string>(),
          "build folders of other commits, for the comparison builds");
ABSL_FLAG(std::string, results, "bench/results", "folder for the results");
ABSL_FLAG(std::string, comparison, "placement",
          "placement, admission, weights or builds");
ABSL_FLAG(std::string, workload, "cascadia", "cascadia, veritas or contended");
ABSL_FLAG(std::string, commit, "unknown", "the commit that is measured");
ABSL_FLAG(int, seed, 1, "seed of the first round");
ABSL_FLAG(int, rounds, 5, "runs of each variant");
ABSL_FLAG(int, steps, 5, "steps of each trainer in a run");

namespace hibiscus::testing {
namespace {

void write_file(const std::string& path, const std::string& text) {
    std::ofstream(path) << text;
    std::cout << "bench: wrote " << path << std::endl;
}

bench_settings settings_from_flags() {
    bench_settings how;
    how.comparison = absl::GetFlag(FLAGS_comparison);
    how.workload = absl::GetFlag(FLAGS_workload);
    how.commit = absl::GetFlag(FLAGS_commit);
    how.first_seed = absl::GetFlag(FLAGS_seed);
    how.rounds = absl::GetFlag(FLAGS_rounds);
    how.steps = absl::GetFlag(FLAGS_steps);
    return how;
}

/// Runs one variant and notes its measures.
void run_and_record(const bench_settings& how, const workload& load,
                    const variant& side, int seed, variant_runs& row) {
    const auto programs =
        side.build_dir.empty() ? absl::GetFlag(FLAGS_programs) : side.build_dir;
    auto seen = run_variant(programs, load, side, how.steps, seed);
    std::cout << "bench: seed " << seed << " " << side.name;
    if (seen.empty()) {
        ++row.failed;
        std::cout << " failed: a sample or an answer is missing" << std::endl;
        return;
    }
    std::cout << " idle " << seen.at(measure::trainer_idle) << " staleness "
              << seen.at(measure::staleness) << std::endl;
    row.runs.push_back(std::move(seen));
}

/// Returns the variants of a comparison; "builds" sets this build against
/// others.
std::vector<variant> select_variants(const std::string& comparison) {
    if (comparison != "builds") {
        return make_variants(comparison);
    }
    std::vector<variant> sides;
    for (const auto& folder : absl::GetFlag(FLAGS_builds)) {
        variant side(folder.substr(folder.rfind('/') + 1));
        side.build_dir = folder;
        sides.push_back(std::move(side));
    }
    sides.push_back(variant("this"));
    return sides;
}

int run() {
    const auto how = settings_from_flags();
    const auto load = make_workload(how.workload);
    const auto sides = select_variants(how.comparison);
    if (load.name.empty() || sides.empty()) {
        std::cerr << "bench: unknown workload or comparison" << std::endl;
        return 2;
    }
    std::vector<variant_runs> all;
    all.reserve(sides.size());
    for (const auto& side : sides) {
        all.push_back({side.name, {}, 0});
    }
    for (int round = 0; round < how.rounds; ++round) {
        for (std::size_t i = 0; i < sides.size(); ++i) {
            // No variant is always the first of a round.
            const auto at =
                (i + static_cast<std::size_t>(round)) % sides.size();
            run_and_record(how, load, sides[at], how.first_seed + round,
                           all[at]);
        }
    }
    std::cout << to_table(all);
    const auto base = absl::GetFlag(FLAGS_results) + "/" + how.comparison +
                      "-" + how.workload;
    write_file(base + ".json", to_json(how, all));
    write_file(base + ".svg", to_svg(how, all));
    int failed = 0;
    for (const auto& row : all) {
        failed += row.failed;
    }
    return failed == 0 ? 0 : 1;
}

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    return hibiscus::testing::run();
}
