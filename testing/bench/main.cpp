// Compares variants of a decision on real processes. Each round runs every
// variant once with the same seed, so other load on the machine affects all
// variants alike. The medians over the rounds are compared.

#include "report.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, programs, "build", "build directory");
ABSL_FLAG(std::vector<std::string>, builds, std::vector<std::string>(),
          "build directories of other commits, for the comparison \"builds\"");
ABSL_FLAG(std::string, results, "bench/results", "directory for the results");
ABSL_FLAG(std::string, comparison, "placement",
          "comparison to run: placement, admission, weights or builds");
ABSL_FLAG(std::string, workload, "cascadia",
          "workload to run: cascadia, veritas or contended");
ABSL_FLAG(std::string, commit, "unknown", "commit of the measured build");
ABSL_FLAG(int, seed, 1, "seed of the first round");
ABSL_FLAG(int, rounds, 5, "number of runs of each variant");
ABSL_FLAG(int, steps, 5, "number of steps of each trainer in a run");

namespace hibiscus::testing {
namespace {

void write_file(const std::string& path, const std::string& text) {
    std::ofstream(path) << text;
    std::cout << "bench: wrote " << path << std::endl;
}

bench_settings settings_from_flags() {
    bench_settings settings;
    settings.comparison = absl::GetFlag(FLAGS_comparison);
    settings.workload = absl::GetFlag(FLAGS_workload);
    settings.commit = absl::GetFlag(FLAGS_commit);
    settings.first_seed = absl::GetFlag(FLAGS_seed);
    settings.rounds = absl::GetFlag(FLAGS_rounds);
    settings.steps = absl::GetFlag(FLAGS_steps);
    return settings;
}

/// Runs one variant and adds its measures to `results`.
void run_and_record(const bench_settings& settings, const workload& load,
                    const variant& tested_variant, int seed,
                    variant_runs& results) {
    const auto programs = tested_variant.build_dir.empty()
                              ? absl::GetFlag(FLAGS_programs)
                              : tested_variant.build_dir;
    auto measures =
        run_variant(programs, load, tested_variant, settings.steps, seed);
    std::cout << "bench: seed " << seed << " " << tested_variant.name;
    if (measures.empty()) {
        ++results.failed;
        std::cout << " failed: a sample or a response is missing or wrong"
                  << std::endl;
        return;
    }
    std::cout << " idle " << measures.at(measure::trainer_idle_share)
              << " staleness " << measures.at(measure::staleness) << std::endl;
    results.runs.push_back(std::move(measures));
}

/// Returns the variants of a comparison. "builds" compares this build with the
/// builds in --builds.
std::vector<variant> select_variants(const std::string& comparison) {
    if (comparison != "builds") {
        return make_variants(comparison);
    }
    std::vector<variant> variants;
    for (const auto& build_dir : absl::GetFlag(FLAGS_builds)) {
        variant other_build(build_dir.substr(build_dir.rfind('/') + 1));
        other_build.build_dir = build_dir;
        variants.push_back(std::move(other_build));
    }
    variants.push_back(variant("this"));
    return variants;
}

int run() {
    const auto settings = settings_from_flags();
    const auto load = make_workload(settings.workload);
    const auto variants = select_variants(settings.comparison);
    if (load.name.empty() || variants.empty()) {
        std::cerr << "bench: unknown workload or comparison" << std::endl;
        return 2;
    }
    std::vector<variant_runs> results;
    results.reserve(variants.size());
    for (const auto& tested_variant : variants) {
        results.push_back({tested_variant.name, {}, 0});
    }
    for (int round = 0; round < settings.rounds; ++round) {
        for (std::size_t i = 0; i < variants.size(); ++i) {
            // Rotates the order, so that no variant always runs first.
            const auto index =
                (i + static_cast<std::size_t>(round)) % variants.size();
            run_and_record(settings, load, variants[index],
                           settings.first_seed + round, results[index]);
        }
    }
    std::cout << to_table(results);
    const auto base_path = absl::GetFlag(FLAGS_results) + "/" +
                           settings.comparison + "-" + settings.workload;
    write_file(base_path + ".json", to_json(settings, results));
    write_file(base_path + ".svg", to_svg(settings, results));
    int failed = 0;
    for (const auto& row : results) {
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
