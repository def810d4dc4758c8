#pragma once

#include "run.hpp"

#include <string>
#include <utility>
#include <vector>

namespace hibiscus::testing {

/// The settings of a comparison.
struct bench_settings {
    std::string comparison;
    std::string workload;
    std::string commit;
    int first_seed = 1;
    int rounds = 5;
    int steps = 5;
};

/// The runs of one variant, one for each seed.
struct variant_runs {
    std::string name;
    std::vector<measure_values> runs;
    /// Number of runs with a missing or wrong sample or response.
    int failed = 0;

    /// Returns the median of a measure over all runs.
    double median_of(measure m) const;
};

/// Returns the medians as a Markdown table.
std::string to_table(const std::vector<variant_runs>& results);

/// Returns all runs and medians as JSON.
std::string to_json(const bench_settings& settings,
                    const std::vector<variant_runs>& results);

/// Returns an SVG chart of trainer idle share and staleness of each variant.
/// Bars show the medians and dots the runs.
std::string to_svg(const bench_settings& settings,
                   const std::vector<variant_runs>& results);

} // namespace hibiscus::testing
