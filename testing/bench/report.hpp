#pragma once

#include "run.hpp"

#include <string>
#include <utility>
#include <vector>

namespace hibiscus::testing {

/// How the runs of a comparison were made.
struct bench_settings {
    std::string comparison;
    std::string workload;
    std::string commit;
    int first_seed = 1;
    int rounds = 5;
    int steps = 5;
};

/// The runs of one variant, a run for each seed.
struct variant_runs {
    std::string name;
    std::vector<measure_values> runs;
    /// Runs that lacked a sample or an answer.
    int failed = 0;

    /// Returns the median of one measure.
    double median_of(measure m) const;
};

/// Returns the medians as a Markdown table.
std::string to_table(const std::vector<variant_runs>& all);

/// Returns all runs and medians as JSON.
std::string to_json(const bench_settings& how,
                    const std::vector<variant_runs>& all);

/// Returns an SVG picture of idle share and staleness by variant; small marks
/// show the single runs.
std::string to_svg(const bench_settings& how,
                   const std::vector<variant_runs>& all);

} // namespace hibiscus::testing
