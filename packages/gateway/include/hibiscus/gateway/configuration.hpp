#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/base/ids.hpp"
#include "hibiscus/gateway/workspaces.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The operator's configuration: which requests go to which service.
namespace hibiscus::gateway {

/// Kind of a route; determines whether its requests may run more than once.
enum class route_kind {
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once per received request.
    streaming,      ///< Sends events; runs at most once unless resumable.
    batch,          ///< Accepts batch jobs.
};

/// A service and its relative share of a route's requests.
struct weighted_service {
    std::string service;
    int weight = 1;
};

struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::idempotent;
    /// True if an interrupted stream can be resumed after its last event.
    bool resumable = false;
    /// True if all tokens of a batch result must come from the same version of
    /// the weights.
    bool single_version = false;
    /// Maximum time that a caller may wait for the response, in ms; 0 for no
    /// limit.
    base::millis timeout_ms = 0;
    /// Desired latency of a response, in ms; a faster response is not worth
    /// more to the caller.
    base::millis latency_target_ms = 0;
    /// Target time for the results of a batch job, in ms.
    base::millis batch_target_ms = 0;
    /// Age of a batch job after which its items may be abandoned, in ms.
    base::millis batch_item_expiry_ms = 0;
    /// 0 is the most urgent.
    int priority = 0;
    /// True if requests need no API key.
    bool is_public = false;
    /// Maximum number of backend servers to which one received request may be
    /// sent. A request that must not run twice is only resent if it has
    /// definitely not run.
    int max_attempts = 1;
    std::vector<weighted_service> services;
};

/// A service whose backend servers are samplers.
struct sampler_service {
    std::string name;
    /// Size of the key-value cache of each server, in tokens; 0 if unknown.
    std::int64_t kv_capacity_tokens = 0;
};

/// A service whose servers tolerate few requests while they warm up.
struct warming_service {
    std::string name;
    /// Requests per second that such a server tolerates.
    double requests_per_s = 0;
};

/// A service whose number of servers this system decides on.
struct scaled_service {
    std::string name;
    int min_servers_per_zone = 0;
    int max_servers_per_zone = 0;
    /// Time from an order until new servers are in use, in ms.
    base::millis boot_ms = 0;
    /// Relative price of a server by availability zone.
    std::map<std::string, double> zone_prices;
};

/// Limits for requests of callers.
struct request_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 32 * 1024 * 1024;
    base::millis header_timeout_ms = 3000;
    base::millis idle_timeout_ms = 15000;
};

/// One version of the operator's configuration.
struct configuration {
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<sampler_service> sampler_services;
    std::vector<warming_service> warming_services;
    std::vector<scaled_service> scaled_services;
    request_limits limits;
    /// Empty if the configuration defines no workspaces; requests then need no
    /// API keys.
    std::optional<workspace_directory> workspaces;
};

/// Returns the priority of requests of `holder` on the route: that of the
/// workspace if it has one. `holder` may be null.
int effective_priority(const route& r, const workspace* holder);

/// Returns the route of the host with the longest prefix of the path, or null
/// if none matches. `request_target` may include a query.
const route* find_route(const configuration& c, std::string_view host,
                        std::string_view request_target);

/// Returns a service of the route, chosen by weight. `random_value` is a random
/// number in [0, 1). The route must have at least one service.
const std::string& choose_service(const route& r, double random_value);

/// Returns true if the route sends requests to the service.
bool has_service(const route& r, std::string_view service);

} // namespace hibiscus::gateway

namespace hibiscus::base {

template <>
struct enum_names<gateway::route_kind> {
    static constexpr std::array<enum_name<gateway::route_kind>, 4> table{{
        {gateway::route_kind::idempotent, "idempotent"},
        {gateway::route_kind::non_idempotent, "non_idempotent"},
        {gateway::route_kind::streaming, "streaming"},
        {gateway::route_kind::batch, "batch"},
    }};
};

} // namespace hibiscus::base
