#pragma once

#include "scenario.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// The measures of a run.
enum class measure {
    trainer_idle_share, ///< Share of time that trainers wait for samples.
    idle_share_after_first_step, ///< Excludes the wait for the first step.
    idle_floor,         ///< Lower bound of the idle share for any placement.
    staleness,          ///< Mean staleness of the samples, in versions.
    step_p50_ms,        ///< Median time from opening a step to its last sample.
    step_p99_ms,        ///< 99th percentile of the same time.
    lookup_p50_ms,      ///< Median latency of lookups.
    lookup_p99_ms,      ///< 99th percentile of the latency of lookups.
    sync_p99_ms,        ///< 99th percentile of the latency of syncs.
    goodput,            ///< Samples received by the trainers per second.
    engine_utilization, ///< Utilization of the engine slots.
    regenerated_share,  ///< Share of started streams without a sample.
    first_trainer_step_ms, ///< Mean step time of the first trainer.
    second_trainer_step_ms ///< Mean step time of the second trainer.
};

/// The measures of one run; empty if a sample or a response was missing or
/// wrong.
using measure_values = std::map<measure, double>;

/// Runs a workload under a variant on new processes and returns the measures
/// from the records of clients and stand-ins.
measure_values run_variant(const std::string& programs, const workload& load,
                           const variant& tested_variant, int steps, int seed);

/// Returns the median of `values`, or 0 if there are none.
double median(std::vector<double> values);

} // namespace hibiscus::testing

namespace hibiscus::base {

template <>
struct enum_names<testing::measure> {
    using m = testing::measure;
    static constexpr std::array<enum_name<m>, 14> table{{
        {m::trainer_idle_share, "trainer_idle"},
        {m::idle_share_after_first_step, "warm_idle"},
        {m::idle_floor, "idle_floor"},
        {m::staleness, "staleness_mean"},
        {m::step_p50_ms, "step_p50_ms"},
        {m::step_p99_ms, "step_p99_ms"},
        {m::lookup_p50_ms, "lookup_p50_ms"},
        {m::lookup_p99_ms, "lookup_p99_ms"},
        {m::sync_p99_ms, "sync_p99_ms"},
        {m::goodput, "goodput"},
        {m::engine_utilization, "engine_busy"},
        {m::regenerated_share, "regenerated"},
        {m::first_trainer_step_ms, "first_step_ms"},
        {m::second_trainer_step_ms, "second_step_ms"},
    }};
};

} // namespace hibiscus::base
