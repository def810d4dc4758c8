#pragma once

#include "hibiscus/base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Usage of the workspaces: how many requests began to run in each window of
/// the wall clock.
namespace hibiscus::duties {

/// Number of a window: the start of the window in ms since the Unix epoch,
/// divided by the length of the windows.
using window_number = std::int64_t;

/// Number of requests by workspace.
using usage_counts = std::map<std::string, std::int64_t>;

/// The windows of the wall clock.
class window_calendar {
public:
    explicit window_calendar(base::millis length_ms) : length_ms_(length_ms) {}

    window_number window_at(base::millis true_time) const {
        return true_time / length_ms_;
    }

    base::millis end_of(window_number window) const {
        return (window + 1) * length_ms_;
    }

private:
    base::millis length_ms_;
};

/// The usage that is reported of one window. Once the store has it, it never
/// changes.
struct usage_report {
    window_number window = 0;
    usage_counts counts;
    /// True once the receiver has confirmed the report.
    bool delivered = false;
};

/// Key of the journal record with a report.
std::string report_key(window_number window);
/// Returns the window of a report_key(), or nothing for another key.
std::optional<window_number> parse_report_key(const std::string& key);

/// Names a record with the counts of one process for one window.
struct count_record_key {
    window_number window = 0;
    std::string node;
    /// Unique for each start of a node.
    std::string incarnation;
    /// Increases after each write with an unknown outcome. Such a write may
    /// still be executed, and must not replace a later one.
    int generation = 0;
};

/// Key of a record with counts; begins with count_prefix() of its window.
std::string format_key(const count_record_key& key);
std::string count_prefix(window_number window);

/// Adds up the counts of a window. `records` holds pairs of key and value,
/// sorted by key. Of each process, only the last generation counts.
usage_counts
sum_counts(const std::vector<std::pair<std::string, std::string>>& records);

/// Encodes and decodes the values. The decoders return nothing if the bytes
/// don't hold a value of that type.
std::string encode(const usage_report& report);
std::string encode(const usage_counts& counts);
std::optional<usage_report> decode_report(window_number window,
                                          const std::string& bytes);
std::optional<usage_counts> decode_counts(const std::string& bytes);

} // namespace hibiscus::duties
