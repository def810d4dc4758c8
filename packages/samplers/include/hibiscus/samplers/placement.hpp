#pragma once

#include "hibiscus/samplers/sampler_table.hpp"

#include <optional>
#include <set>

/// Which backend server takes a request.
namespace hibiscus::samplers {

/// What a run needs of its server.
struct run_needs {
    service_name service;
    std::string model;
    /// The oldest weights that it admits.
    std::int64_t least = 0;
    /// What it is expected to hold in memory at its end.
    std::int64_t tokens = 0;
};

/// Returns the server for a run that needs weights of at least `least`, or
/// nothing if no place is free. Answers the load of one trainer's step: more
/// items than places at first, half of the places empty later. Runs go to the
/// server that makes events fastest, so that the longest, which are placed
/// first, end soonest; a fuller server counts as slower by what its batch
/// costs, and one whose memory will not do for its runs as much slower.
std::optional<sampler_id> place_run(const sampler_table& table,
                                    const run_needs& needs, base::millis now);

/// Returns a server that makes events so much faster than `from` that a long
/// run should go on there, or nothing. Samples of a step end together only if
/// the longest do not stay on the slower servers.
std::optional<sampler_id> faster_place(const sampler_table& table,
                                       const run_needs& needs,
                                       const sampler_id& from,
                                       base::millis now);

/// Returns the mean time between two events of a run at a server, in ms, as it
/// was seen there lately, or else at the usual server of its service.
double event_pace(const sampler_table& table, const sampler_id& id,
                  base::millis now);

/// Returns the server for a plain request: the one with the least work of
/// this process for its places, nearest first. Those in `tried` come last.
std::optional<sampler_id> place_plain(const sampler_table& table,
                                      const service_name& service,
                                      const base::zone_id& near,
                                      const std::set<sampler_id>& tried,
                                      base::millis now);

/// Returns the servers of a service that make events much more slowly than
/// most, so that long runs should leave them.
std::set<sampler_id> slow_samplers(const sampler_table& table,
                                   const service_name& service,
                                   base::millis now);

/// Returns how many more runs the servers that place_run() may choose take.
int free_places(const sampler_table& table, const run_needs& needs,
                const std::set<sampler_id>& except, base::millis now);

} // namespace hibiscus::samplers
