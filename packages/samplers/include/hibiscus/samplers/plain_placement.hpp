#pragma once

#include "hibiscus/samplers/sampler_table.hpp"

#include <optional>
#include <set>

/// Which backend server takes a plain request.
namespace hibiscus::samplers {

/// Returns the server for a plain request: the one with the least work of
/// this process for its places, nearest first. Those in `tried` come last.
std::optional<sampler_id> choose_plain_server(const sampler_table& table,
                                              const service_name& service,
                                              const base::zone_id& near,
                                              const std::set<sampler_id>& tried,
                                              base::millis now);

} // namespace hibiscus::samplers
