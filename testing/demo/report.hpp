#pragma once

#include "support/system.hpp"

#include <string>

namespace hibiscus::testing {

/// What the clients and stand-ins of a run saw.
struct report {
    int steps = 0;
    int got = 0;
    int wanted = 0;
    int duplicates = 0;
    int stale = 0;
    int untrue = 0;
    int lost = 0;
    int double_runs = 0;
    double idle_ms = 0;
    double total_ms = 0;
    double staleness_sum = 0;
    int lookup_p99_ms = 0;
};

/// Adds what a trainer printed.
void add_trainer(report& r, const std::string& output);

/// Adds what an application printed.
void add_app(report& r, const std::string& output);

/// Adds the requests that ran twice, by the records of the services.
void add_runs(report& r, system& s);

/// Returns true if all samples are there and nothing is wrong with any.
bool clean(const report& r);

/// Prints the report as one line.
void print(const report& r);

} // namespace hibiscus::testing
