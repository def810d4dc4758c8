#pragma once

#include "hibiscus/samplers/sampler_table.hpp"

#include <optional>
#include <set>

/// Places plain requests, which get one whole response instead of a stream of
/// events, on backend servers.
namespace hibiscus::samplers {

/// Returns the server for a plain request, or nothing if the service has none.
/// Prefers servers in `local_zone` with few requests of this process in flight
/// for their slots and short response times. Servers in `tried` come after all
/// others except blocked ones, which come last.
std::optional<sampler_id> choose_plain_server(const sampler_table& table,
                                              const service_name& service,
                                              const base::zone_id& local_zone,
                                              const std::set<sampler_id>& tried,
                                              base::millis now);

} // namespace hibiscus::samplers
