#pragma once

#include "hibiscus/base/enum_names.hpp"

#include <array>
#include <bitset>
#include <cstddef>

/// Feature switches.
namespace hibiscus::base {

/// An optimization that can be switched off in the settings, which lets
/// operators measure its effect on a deployment.
enum class feature {
    move_silent_runs,    ///< Moves runs away from servers that went silent.
    move_slow_runs,      ///< Moves runs away from servers that became slow.
    move_to_faster,      ///< Moves long runs to faster servers.
    remember_paces,      ///< Still uses event intervals that are seconds old.
    spread_runs,         ///< Treats a server as slower the more runs it has.
    memory_cost,         ///< Treats a server short of memory as slower.
    spare_newer_weights, ///< Avoids servers with newer weights than needed.
    load_one_model,      ///< A loading server still runs its other models.
    load_by_need,        ///< Loads the model with the least supply first.
    load_where_needed,   ///< Loads only on as many servers as steps need.
    longest_first,       ///< Starts the longest pending items first.
    priorities,          ///< Sends servers the priority of each run.
    run_ahead,           ///< Runs items speculatively, before their job exists.
    reuse_texts,         ///< Resumes items from texts of an earlier job.
    save_progress,       ///< Stores partial texts for the next job owner.
    owner_by_size,       ///< Prefers larger nodes as job owners.
    call_through_nodes,  ///< Relays calls to the store through other nodes.
    give_up_silent_store, ///< Ends calls to a store that stopped responding.
    known_servers_first,  ///< Prefers servers with open connections.
    roomy_nodes_first,    ///< Directs callers to the larger nodes.
};

template <>
struct enum_names<feature> {
    static constexpr std::array<enum_name<feature>, 20> table{{
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
