#pragma once

#include "hibiscus/base/enum_names.hpp"

#include <array>
#include <bitset>
#include <cstddef>

namespace hibiscus::base {

/// An optimization that can be switched off in the settings, which lets
/// operators measure its effect on a deployment.
enum class feature {
    /// Moves runs away from servers that stopped sending events.
    move_silent_runs,
    /// Moves runs away from servers that became slow.
    move_slow_runs,
    /// Moves long runs to faster servers.
    move_to_faster,
    /// Estimates speed from event intervals that are seconds old.
    remember_paces,
    /// Treats a server as slower the more of its slots are in use.
    spread_runs,
    /// Treats a server short of memory as slower.
    memory_cost,
    /// Avoids servers with newer weights than needed.
    spare_newer_weights,
    /// Keeps using the other models of a loading server.
    load_one_model,
    /// First loads the model with the least capacity for its demand.
    load_by_need,
    /// Loads a model on no more servers than the steps need.
    load_where_needed,
    /// Starts items with the longest expected output first.
    longest_first,
    /// Chooses the groups to finish when the servers can't finish all of them
    /// in time.
    choose_groups,
    /// Sends servers the priority of each run.
    priorities,
    /// Runs items speculatively, before their job exists.
    run_ahead,
    /// Resumes items from cached texts of an earlier job.
    reuse_texts,
    /// Stores partial texts for the next job owner.
    save_progress,
    /// Prefers larger nodes as job owners.
    owner_by_size,
    /// Relays calls to the store through other nodes.
    call_through_nodes,
    /// Ends calls to a store that stopped responding.
    give_up_silent_store,
    /// Prefers servers with open connections.
    known_servers_first,
    /// Directs callers to the larger nodes.
    roomy_nodes_first,
};

template <>
struct enum_names<feature> {
    static constexpr std::array<enum_name<feature>, 21> table{{
        {feature::move_silent_runs, "move_silent_runs"},
        {feature::move_slow_runs, "move_slow_runs"},
        {feature::move_to_faster, "move_to_faster"},
        {feature::remember_paces, "remember_paces"},
        {feature::spread_runs, "spread_runs"},
        {feature::memory_cost, "memory_cost"},
        {feature::spare_newer_weights, "spare_newer_weights"},
        {feature::load_one_model, "load_one_model"},
        {feature::load_by_need, "load_by_need"},
        {feature::load_where_needed, "load_where_needed"},
        {feature::longest_first, "longest_first"},
        {feature::choose_groups, "choose_groups"},
        {feature::priorities, "priorities"},
        {feature::run_ahead, "run_ahead"},
        {feature::reuse_texts, "reuse_texts"},
        {feature::save_progress, "save_progress"},
        {feature::owner_by_size, "owner_by_size"},
        {feature::call_through_nodes, "call_through_nodes"},
        {feature::give_up_silent_store, "give_up_silent_store"},
        {feature::known_servers_first, "known_servers_first"},
        {feature::roomy_nodes_first, "roomy_nodes_first"},
    }};
};

/// The set of enabled features. All features are enabled by default.
class feature_set {
public:
    bool is_enabled(feature f) const { return !disabled_.test(index(f)); }

    void set_enabled(feature f, bool enabled) {
        disabled_.set(index(f), !enabled);
    }

private:
    static std::size_t index(feature f) { return static_cast<std::size_t>(f); }

    std::bitset<enum_names<feature>::table.size()> disabled_;
};

} // namespace hibiscus::base
