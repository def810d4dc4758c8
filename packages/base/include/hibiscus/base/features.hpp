#pragma once

#include "hibiscus/base/enum_names.hpp"

#include <array>
#include <bitset>
#include <cstddef>

/// The decisions that operators may switch off one by one.
namespace hibiscus::base {

/// A decision that is meant to serve callers better. Each can be switched off
/// in the settings, so that operators see what it is worth on a deployment.
enum class feature {
    move_silent_runs,     ///< Runs leave servers that have fallen silent.
    move_slow_runs,       ///< Runs leave servers that have become slow.
    move_to_faster,       ///< Long runs go on at a faster server.
    remember_paces,       ///< Paces seen some seconds ago still count.
    spread_runs,          ///< A fuller server counts as slower.
    memory_cost,          ///< A server that lacks memory counts as slower.
    spare_newer_weights,  ///< Weights newer than needed count as dearer.
    load_one_model,       ///< A load keeps only its own model's runs away.
    load_by_need,         ///< Loads go to the model supplied worst.
    load_where_needed,    ///< Only so many servers load as steps need.
    longest_first,        ///< Of waiting items the longest start first.
    priorities,           ///< Servers are told which runs are urgent.
    run_ahead,            ///< Items run before the job that carries them.
    reuse_texts,          ///< Texts of an earlier job are gone on with.
    save_progress,        ///< Texts under way are stored for the next owner.
    owner_by_size,        ///< Small nodes leave the jobs to larger ones.
    call_through_nodes,   ///< Other nodes pass calls to the store on.
    give_up_silent_store, ///< Calls to a store that fell silent are ended.
    known_servers_first,  ///< Requests go to servers with open connections.
    roomy_nodes_first,    ///< Callers are sent to the larger nodes.
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

/// Which mechanisms are on; all of them unless switched off.
class feature_set {
public:
    bool is_enabled(feature m) const { return !disabled_.test(index(m)); }

    void set_enabled(feature m, bool on) { disabled_.set(index(m), !on); }

private:
    static std::size_t index(feature m) { return static_cast<std::size_t>(m); }

    std::bitset<enum_names<feature>::table.size()> disabled_;
};

} // namespace hibiscus::base
