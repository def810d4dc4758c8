#pragma once

#include "support/test_cluster.hpp"

#include <string>

namespace hibiscus::testing {

/// Totals of what the clients and stand-ins of a run recorded.
struct demo_report {
    int steps = 0;
    int received_samples = 0;
    int requested_samples = 0;
    int duplicates = 0;
    int stale = 0;
    int text_mismatches = 0;
    int failed_requests = 0;
    int duplicate_runs = 0;
    double idle_ms = 0;
    double total_ms = 0;
    double staleness_sum = 0;
    int lookup_p99_ms = 0;
};

/// Adds the summary that a trainer printed.
void add_trainer_output(demo_report& report, const std::string& output);

/// Adds the summary that an application printed.
void add_app_output(demo_report& report, const std::string& output);

/// Adds the number of requests that ran more than once according to the run
/// counts of the services.
void add_duplicate_runs(demo_report& report, test_cluster& cluster);

/// Returns true if all requested samples were received and nothing was
/// duplicate, stale, mismatched or lost.
bool is_clean(const demo_report& report);

/// Prints the report as one line of text.
void print(const demo_report& report);

} // namespace hibiscus::testing
