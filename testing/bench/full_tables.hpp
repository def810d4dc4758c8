#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// One measured value.
struct measurement {
    std::string name;
    /// The size that the value was measured at, for instance "12000 engines".
    std::string size;
    double value = 0;
    std::string unit;
};

/// Returns the sizes of heartbeats in CBOR for several engine counts, and the
/// time to encode and decode them.
std::vector<measurement> measure_heartbeats();

/// Fills the engine, step, configuration and member tables of a node to their
/// full size in this process and returns the processor time and the memory that
/// this takes.
std::vector<measurement> measure_full_tables();

/// Returns the resident memory of the process `pid` in bytes.
double resident_bytes(int pid);

/// Returns the processor time of the process `pid` in milliseconds.
double cpu_time_ms(int pid);

} // namespace hibiscus::testing
