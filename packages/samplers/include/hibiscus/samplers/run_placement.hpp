#pragma once

#include "hibiscus/samplers/sampler_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

/// Which backend server takes a run.
namespace hibiscus::samplers {

/// What a run needs of its server.
struct run_requirements {
    service_name service;
    std::string model;
    /// The oldest weights that it admits.
    std::int64_t min_version = 0;
    /// What it is expected to hold in memory at its end.
    std::int64_t expected_tokens = 0;
};

/// How many servers of a service could take a run, and what keeps the others
/// from it; each counts once.
struct server_counts {
    int available = 0;
    int full = 0;
    int draining = 0;
    /// The entry is gone, and may be back.
    int unlisted = 0;
    /// Left alone after failures or a refusal.
    int blocked = 0;
    int loading = 0;
    int old_weights = 0;

    /// Returns how many have a free place, whatever keeps a run from it.
    int with_free_slots() const {
        return available + blocked + loading + old_weights;
    }
};

/// The places that servers have for runs at one moment. Each step of a
/// trainer asks for hundreds of places at once and each tick again for those
/// that found none: servers are ranked once for all runs with the same needs,
/// since an owner that looked through all servers for each run would spend its
/// processor on it in a fleet of hundreds of servers, and let events and
/// renewals wait.
///
/// The table must not gain or lose servers while this object lives; whoever
/// changes one says so with changed().
class run_placement {
public:
    run_placement(const sampler_table& table, base::millis now);

    /// Returns the server for a run that needs weights of at least `least`, or
    /// nothing if no place is free. Answers the load of one trainer's step:
    /// more items than places at first, half of the places empty later. Runs
    /// go to the server that makes events fastest, so that the longest, which
    /// are placed first, end soonest; a fuller server counts as slower by what
    /// its batch costs, and one whose memory will not do for its runs as much
    /// slower. Leaves out those in `except`.
    std::optional<sampler_id>
    find_best(const run_requirements& needs,
              const std::set<sampler_id>& except = {});

    /// Returns true if a server without those in `except` stays and has the
    /// weights, whether it has a place now or not.
    bool has_server(const run_requirements& needs,
                    const std::set<sampler_id>& except) const;

    /// Returns a server that makes events so much faster than `from` that a
    /// long run should go on there, or nothing. Samples of a step end together
    /// only if the longest do not stay on the slower servers.
    std::optional<sampler_id> find_faster(const run_requirements& needs,
                                          const sampler_id& from);

    /// Returns how many more runs the servers that best() may choose take,
    /// without those in `except`.
    int free_slots(const run_requirements& needs,
                   const std::set<sampler_id>& except = {});

    /// Returns what the servers of a service are to a run with these needs.
    server_counts count_servers(const run_requirements& needs) const;

    /// Returns the mean time between two events of a run at a server, in ms,
    /// as it was seen there lately, or else at the usual server of its
    /// service.
    double event_interval(const sampler_id& id);

    /// Returns the servers of a service that make events much more slowly than
    /// most, so that long runs should leave them.
    const std::set<sampler_id>& slow_servers(const service_name& service);

    /// Takes in that a server has begun or ended a run, or is blocked.
    void update_server(const sampler_id& id);

    /// Returns how often a server was looked at, for tests of what a decision
    /// costs.
    std::uint64_t servers_examined() const { return servers_examined_; }

private:
    /// A server with a place, and what a run costs there besides what its
    /// memory adds.
    struct ranked_server {
        double cost = 0;
        const sampler_id* id = nullptr;
        const sampler_row* row = nullptr;
        int free_slots = 0;

        bool operator<(const ranked_server& other) const {
            return std::tie(cost, *id) < std::tie(other.cost, *other.id);
        }
    };

    /// The servers with places for one kind of needs, the cheapest first.
    struct ranking {
        std::set<ranked_server> servers;
        std::unordered_map<const sampler_row*, ranked_server> by_row;
        int free_slots = 0;
    };

    using ranking_key = std::tuple<service_name, std::string, std::int64_t>;

    ranking& find_or_make_ranking(const run_requirements& needs);
    bool can_take_run(const ranking_key& of, const sampler_row& row) const;
    void add_if_available(const ranking_key& of, ranking& to,
                          const sampler_id& id, const sampler_row& row);
    double median_interval(const service_name& service);
    double expected_interval(const sampler_row& row);
    double base_cost(const ranking_key& of, const sampler_row& row);
    double memory_cost(const ranked_server& at, std::int64_t tokens);

    const sampler_table& table_;
    base::millis now_;
    std::map<ranking_key, ranking> rankings_;
    std::map<service_name, double> median_intervals_;
    std::map<service_name, std::set<sampler_id>> slow_servers_;
    std::uint64_t servers_examined_ = 0;
};

} // namespace hibiscus::samplers
