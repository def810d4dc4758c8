#pragma once

#include "hibiscus/samplers/sampler_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

/// Places runs on backend servers.
namespace hibiscus::samplers {

/// What a run requires of its server.
struct run_requirements {
    service_name service;
    std::string model;
    /// The oldest version of the weights that the run accepts.
    std::int64_t min_version = 0;
    /// Tokens that the run is expected to hold in memory when it ends.
    std::int64_t expected_tokens = 0;
};

/// The servers of a service, counted by whether they can take a run. Each
/// server counts once, under the first that applies of draining, unlisted,
/// full, blocked, start_limited, loading and old_weights, or else as available.
struct server_counts {
    int available = 0;
    int full = 0;
    int draining = 0;
    /// The registry entry is gone but may come back.
    int unlisted = 0;
    /// Backing off after failures or a rejection.
    int blocked = 0;
    /// As many runs as its start limit allows have been started in the last
    /// second.
    int start_limited = 0;
    int loading = 0;
    int old_weights = 0;

    /// Returns how many servers have a free slot, including those that are
    /// blocked, limited, loading or have old weights.
    int with_free_slots() const {
        return available + blocked + start_limited + loading + old_weights;
    }
};

/// Chooses servers for runs from a view of their free slots at one moment. Each
/// step of a trainer asks for hundreds of slots at once, and each tick asks
/// again for the items that got none. Servers are therefore ranked once for all
/// runs with the same requirements. If a job owner examined all servers for
/// each run, it would spend its CPU time on that in a fleet of hundreds of
/// servers and delay events and lease renewals.
///
/// The table must not gain or lose servers during the lifetime of this object.
/// Other changes are described at update_server().
class run_placement {
public:
    run_placement(const sampler_table& table, base::millis now);

    /// Returns the server for a run, or nothing if no slot is free. Optimized
    /// for a trainer's step: at first there are more items than slots, near its
    /// end half of the slots are free. Prefers the server with the shortest
    /// event interval, so that the longest runs, which are placed first, end as
    /// early as possible. The cost of a server grows with its load, and steeply
    /// once its memory does not suffice for its runs. Skips the servers in
    /// `except`.
    std::optional<sampler_id>
    find_best(const run_requirements& needs,
              const std::set<sampler_id>& except = {});

    /// Returns true if a listed server that is not draining and not in `except`
    /// has the weights, whether or not it has a free slot.
    bool has_server(const run_requirements& needs,
                    const std::set<sampler_id>& except) const;

    /// Returns a server whose event interval is so much shorter than that of
    /// `current` that a long run should move there, or nothing. The samples of
    /// a step end together only if the longest runs do not stay on slower
    /// servers.
    std::optional<sampler_id> find_faster(const run_requirements& needs,
                                          const sampler_id& current);

    /// Returns how many more runs the servers that find_best() may choose can
    /// take, without those in `except`.
    int free_slots(const run_requirements& needs,
                   const std::set<sampler_id>& except = {});

    /// Counts the servers of a service by whether they can take a run with
    /// these requirements.
    server_counts count_servers(const run_requirements& needs) const;

    /// Returns the expected time between two events of a run at a server, in
    /// ms: the mean observed there, or the median of its service if there is
    /// none. An observation that is no longer recent is bounded by a multiple
    /// of that median.
    double event_interval(const sampler_id& id);

    /// Returns the servers of a service whose event interval is so much longer
    /// than the median that long runs should leave them.
    const std::set<sampler_id>& slow_servers(const service_name& service);

    /// Updates the rankings. Must be called after a run began or ended at a
    /// server, or the server was blocked. The median intervals and the slow
    /// servers stay as first computed.
    void update_server(const sampler_id& id);

    /// Returns how many times a server was examined, for tests of the cost of a
    /// decision.
    std::uint64_t servers_examined() const { return servers_examined_; }

private:
    /// A server with free slots, and the cost of a run there without the cost
    /// of its memory.
    struct ranked_server {
        double cost = 0;
        const sampler_id* id = nullptr;
        const sampler_row* row = nullptr;
        int free_slots = 0;

        bool operator<(const ranked_server& other) const {
            return std::tie(cost, *id) < std::tie(other.cost, *other.id);
        }
    };

    /// The servers with free slots for one set of requirements, cheapest first.
    struct ranking {
        std::set<ranked_server> servers;
        std::unordered_map<const sampler_row*, ranked_server> by_row;
        int free_slots = 0;
    };

    using ranking_key = std::tuple<service_name, std::string, std::int64_t>;

    ranking& find_or_make_ranking(const run_requirements& needs);
    bool can_take_run(const ranking_key& key, const sampler_row& row) const;
    void add_if_available(const ranking_key& key, ranking& server_ranking,
                          const sampler_id& id, const sampler_row& row);
    double median_interval(const service_name& service);
    double expected_interval(const sampler_row& row);
    double base_cost(const ranking_key& key, const sampler_row& row);
    double memory_cost(const ranked_server& server, std::int64_t tokens);

    const sampler_table& table_;
    base::millis now_;
    std::map<ranking_key, ranking> rankings_;
    std::map<service_name, double> median_intervals_;
    std::map<service_name, std::set<sampler_id>> slow_servers_;
    std::uint64_t servers_examined_ = 0;
};

} // namespace hibiscus::samplers
