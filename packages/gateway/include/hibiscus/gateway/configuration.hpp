#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/base/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Which requests go to which service, as the operator says.
namespace hibiscus::gateway {

/// What may be repeated of a route's requests.
enum class route_kind {
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once for each attempt of a caller.
    streaming,      ///< Answers in events; at most once unless resumable.
    batch,          ///< Takes batch jobs.
};

/// A service and its share of a route's requests.
struct weighted_service {
    std::string service;
    int weight = 1;
};

/// One route.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::idempotent;
    bool resumable = false;
    /// A batch result must come from one version of the weights.
    bool single_version = false;
    /// How long a caller may be kept waiting, in ms; 0 for no bound.
    base::millis timeout_ms = 0;
    /// Within which an answer is worth the most, in ms.
    base::millis latency_target_ms = 0;
    /// Within which the results of a batch job are due, in ms.
    base::millis batch_target_ms = 0;
    /// After which an item of a batch job may be given up, in ms.
    base::millis batch_item_expiry_ms = 0;
    int priority = 0;
    /// The most servers that one attempt of a caller may be sent to.
    int max_attempts = 1;
    std::vector<weighted_service> services;
};

/// A service that makes tokens, and the memory of each of its servers in
/// tokens; 0 if it is not told.
struct sampler_service {
    std::string name;
    std::int64_t kv_capacity_tokens = 0;
};

/// What callers may send.
struct request_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 32 * 1024 * 1024;
    base::millis header_timeout_ms = 3000;
    base::millis idle_timeout_ms = 15000;
};

/// A version of the operator's configuration.
struct configuration {
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<sampler_service> sampler_services;
    request_limits limits;
};

/// Returns the route of a request: of those of its host, the one with the
/// longest prefix that begins the path. Null if there is none.
const route* find_route(const configuration& c, std::string_view host,
                        std::string_view path);

/// Returns the service of a request by the weights of its route. `point` is
/// drawn by the caller, from 0 to 1.
const std::string& choose_service(const route& r, double point);

/// Returns true if requests of a route may go to a service.
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
