#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// One figure that a fill gave.
struct measurement {
    std::string name;
    /// What the figure was taken at, for instance "12000 engines".
    std::string size;
    double value = 0;
    std::string unit;
};

/// Returns the sizes of heartbeats in CBOR at several counts of engines.
std::vector<measurement> measure_heartbeats();

/// Fills tables to their full size in this process and returns the processor
/// time and the memory that it took.
std::vector<measurement> measure_full_tables();

/// Returns the resident memory of the process `id` in bytes.
double resident_bytes(int id);

/// Returns the processor time of the process `id` in milliseconds.
double cpu_time_ms(int id);

} // namespace hibiscus::testing
