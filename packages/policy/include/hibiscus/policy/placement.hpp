#pragma once

#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/cluster/step_coordinator.hpp"
#include "hibiscus/document/document.hpp"

#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace hibiscus::policy {

/// Prefers the engine with the fewest streams for its slots.
struct least_admitted {};

/// Draws two engines and takes the one with fewer streams for its slots.
struct power_of_two {};

/// Takes the engine that the prompt's hash prefers, so that a group shares
/// its prefix cache, unless it is `slack` streams fuller than the emptiest.
struct prefix_affinity {
    int max_load_gap = 2;
};

/// Takes the engines in turn.
struct round_robin {
    std::size_t next = 0;
};

/// Takes any engine.
struct random_choice {};

/// A way to choose an engine.
using placement_policy =
    std::variant<least_admitted, power_of_two, prefix_affinity, round_robin,
                 random_choice>;

/// Returns the policy that the document calls `kind`.
placement_policy make_placement_policy(document::placement_kind kind);

/// An engine that may be chosen.
struct engine_candidate {
    base::engine_id engine;
    int streams = 0;
    /// Streams that the engine takes, running and queued.
    int capacity = 1;
};

/// Returns the one of `candidates` that `policy` chooses, or null if all are
/// full. A full engine is never chosen.
const engine_candidate*
choose_engine(placement_policy& policy,
              const std::vector<engine_candidate>& candidates,
              const std::string& prompt, std::mt19937_64& random);

} // namespace hibiscus::policy
