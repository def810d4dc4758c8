#pragma once

#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/cluster/step_coordinator.hpp"
#include "hibiscus/document/document.hpp"

#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace hibiscus::policy {

/// Chooses the engine with the lowest ratio of streams to capacity.
struct least_admitted {};

/// Draws two engines at random and chooses the one with the lower ratio of
/// streams to capacity.
struct power_of_two {};

/// Chooses an engine by rendezvous hashing of the prompt, so that the samples
/// of a group share its prefix cache, unless it has over `max_load_gap` streams
/// more than the least loaded engine.
struct prefix_affinity {
    int max_load_gap = 2;
};

/// Chooses the engines in turn.
struct round_robin {
    std::size_t next = 0;
};

/// Chooses any engine at random.
struct random_choice {};

/// A policy for choosing an engine for a stream.
using placement_policy =
    std::variant<least_admitted, power_of_two, prefix_affinity, round_robin,
                 random_choice>;

/// Returns the policy for a kind set in the configuration document.
placement_policy make_placement_policy(document::placement_kind kind);

/// An engine that may be chosen.
struct engine_candidate {
    base::engine_id engine;
    int streams = 0;
    /// Maximum number of streams, running and queued.
    int capacity = 1;
};

/// Returns the candidate that `policy` chooses, or null if all are full. A full
/// engine is never chosen.
const engine_candidate*
choose_engine(placement_policy& policy,
              const std::vector<engine_candidate>& candidates,
              const std::string& prompt, std::mt19937_64& random);

} // namespace hibiscus::policy
