#pragma once

#include "support/test_cluster.hpp"

#include <string>

namespace hibiscus::testing {

/// What the clients and stand-ins of a run saw.
struct run_report {
    int steps = 0;
    int received_samples = 0;
    int requested_samples = 0;
    int duplicates = 0;
    int stale = 0;
    int text_mismatches = 0;
    int lost_responses = 0;
    int double_runs = 0;
    double idle_ms = 0;
    double total_ms = 0;
    double staleness_sum = 0;
    int lookup_p99_ms = 0;
};

/// Adds what a trainer printed.
void add_trainer_output(run_report& r, const std::string& output);

/// Adds what an application printed.
void add_app_output(run_report& r, const std::string& output);

/// Adds the requests that ran twice, by the records of the services.
void add_duplicate_runs(run_report& r, test_cluster& s);

/// Returns true if all samples are there and nothing is wrong with any.
bool is_clean(const run_report& r);

/// Prints the report as one line.
void print(const run_report& r);

} // namespace hibiscus::testing
