#pragma once

#include "scenario.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// What a run measures.
enum class measure {
    trainer_idle,      ///< Share of the trainers' time without samples.
    warm_idle,         ///< The same after each trainer's first step.
    idle_floor,        ///< The share that no placement can improve on.
    staleness,         ///< Versions that a sample is behind, on average.
    step_p50_ms,       ///< From a step's opening to its last sample.
    step_p99_ms,       ///< The same, of the slowest steps.
    lookup_p50_ms,     ///< An application's lookup.
    lookup_p99_ms,     ///< The same, of the slowest lookups.
    sync_p99_ms,       ///< An application's sync, of the slowest.
    goodput,           ///< Samples that trainers took, each second.
    engine_busy,       ///< Share of the engines' slot time that was used.
    regenerated_share, ///< Streams that gave no sample, of all started.
    first_step_ms,     ///< A step of the first trainer, on average.
    second_step_ms     ///< A step of the second trainer, on average.
};

/// The measures of one run; empty if a sample or an answer was missing.
using measure_values = std::map<measure, double>;

/// Runs a workload under a variant on fresh processes and returns what the
/// clients and stand-ins saw.
measure_values run_variant(const std::string& programs, const workload& load,
                           const variant& side, int steps, int seed);

/// Returns the median of `values`, or 0 if there are none.
double median(std::vector<double> values);

} // namespace hibiscus::testing

namespace hibiscus::base {

template <>
struct enum_names<testing::measure> {
    using m = testing::measure;
    static constexpr std::array<enum_name<m>, 14> table{{
        {m::trainer_idle, "trainer_idle"},
        {m::warm_idle, "warm_idle"},
        {m::idle_floor, "idle_floor"},
        {m::staleness, "staleness_mean"},
        {m::step_p50_ms, "step_p50_ms"},
        {m::step_p99_ms, "step_p99_ms"},
        {m::lookup_p50_ms, "lookup_p50_ms"},
        {m::lookup_p99_ms, "lookup_p99_ms"},
        {m::sync_p99_ms, "sync_p99_ms"},
        {m::goodput, "goodput"},
        {m::engine_busy, "engine_busy"},
        {m::regenerated_share, "regenerated"},
        {m::first_step_ms, "first_step_ms"},
        {m::second_step_ms, "second_step_ms"},
    }};
};

} // namespace hibiscus::base
