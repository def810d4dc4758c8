#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/document/document.hpp"

#include <string>
#include <utility>
#include <vector>

namespace hibiscus::testing {

/// The demand of one trainer.
struct trainer_load {
    std::string name;
    int groups = 16;
    int group_size = 4;
    int max_tokens = 40;
    base::millis train_ms = 400;
    double weight = 1.0;
};

/// A kind of engines; engines of one pool may differ.
struct engine_group {
    int count = 10;
    int chunk_ms = 20;
};

/// A deployment and what its clients ask for.
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

/// One side of a comparison.
struct variant {
    /// Constructs the variant that changes nothing.
    explicit variant(std::string name) : name(std::move(name)) {}

    std::string name;
    document::placement_kind placement =
        document::placement_kind::prefix_affinity;
    document::start_version_kind start_version =
        document::start_version_kind::expect_publish;
    /// Streams that the engines' homes admit beyond the slots, as a share of
    /// them. A large one means that homes refuse nothing.
    double queue_share = 1.0;
    /// How often nodes tell each other the load of their engines.
    base::millis heartbeat_ms = 500;
    /// The build folder of the nodes; empty for the bench's own.
    std::string build_dir;
    /// Whether the document has the trainers' weights, or 1 for all.
    bool uses_trainer_weights = true;
};

/// Returns the workload of that name ("cascadia", "veritas", "contended"), or
/// one without a name.
workload make_workload(const std::string& name);

/// Returns the variants of a comparison ("placement", "admission", "weights"),
/// or none.
std::vector<variant> make_variants(const std::string& comparison);

/// Returns the operators' document for a run.
std::string make_document(const workload& load, const variant& side, int seed);

/// Returns the name of a trainer in the run of a seed. Lengths of samples
/// follow from it, so all sides of a comparison get the same samples.
std::string seeded_name(const trainer_load& trainer, int seed);

/// Returns the idle share of a trainer whose samples all begin at once on the
/// fastest engine without a queue: what no placement can improve on.
double idle_floor(const workload& load, int steps, int seed);

} // namespace hibiscus::testing
