#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/document/document.hpp"

#include <string>
#include <utility>
#include <vector>

namespace hibiscus::testing {

/// The load that one trainer causes.
struct trainer_load {
    std::string name;
    int groups = 16;
    int group_size = 4;
    int max_tokens = 40;
    base::millis train_ms = 400;
    double weight = 1.0;
};

/// Engines of equal speed; a pool may contain several groups.
struct engine_group {
    int count = 10;
    int chunk_ms = 20;
};

/// A deployment and the load of its clients.
struct workload {
    std::string name;
    int zones = 3;
    int nodes = 6;
    std::vector<engine_group> engines;
    int slots = 8;
    int prefill_chunks = 6;
    int straggler_percent = 3;
    int staleness_bound = 1;
    std::vector<trainer_load> trainers;
};

/// One variant of a comparison.
struct variant {
    /// Constructs a variant with the default settings.
    explicit variant(std::string name) : name(std::move(name)) {}

    std::string name;
    document::placement_kind placement =
        document::placement_kind::prefix_affinity;
    document::start_version_kind start_version =
        document::start_version_kind::expect_publish;
    /// Number of streams that the home node of an engine admits beyond its
    /// slots, as a fraction of the slots. With a large value no stream is
    /// rejected.
    double queue_share = 1.0;
    /// Interval of the heartbeats in which nodes report the load of their
    /// engines.
    base::millis heartbeat_ms = 500;
    /// The build directory of the programs; empty for that of --programs.
    std::string build_dir;
    /// If true, the document contains the weights of the trainers; otherwise
    /// all weights are 1.
    bool uses_trainer_weights = true;
};

/// Returns the workload `name` ("cascadia", "veritas" or "contended"), or one
/// with an empty name if there is none.
workload make_workload(const std::string& name);

/// Returns the variants of a comparison ("placement", "admission" or
/// "weights"), or none if it is unknown.
std::vector<variant> make_variants(const std::string& comparison);

/// Returns the document to publish for a run.
std::string make_document(const workload& load, const variant& tested_variant,
                          int seed);

/// Returns the name of a trainer in the runs with `seed`. The lengths of its
/// samples are derived from the name, so all variants of a comparison get the
/// same samples.
std::string seeded_name(const trainer_load& trainer, int seed);

/// Returns the idle share of the trainers if all samples start at once on the
/// fastest engines without queueing. This is a lower bound for any placement.
double idle_floor(const workload& load, int steps, int seed);

} // namespace hibiscus::testing
