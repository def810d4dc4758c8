#include "hibiscus/samplers/plain_placement.hpp"

#include <algorithm>

namespace hibiscus::samplers {

namespace {

/// A server that responded within this time, in ms, and has no request in
/// flight probably has an idle open connection: servers close idle connections
/// after some seconds. A wrong guess does no harm.
constexpr base::millis idle_connection_ms = 8000;

/// Largest cost that breaks a tie, so that nodes choose differently among equal
/// servers. Smaller than any relevant difference between two response times.
constexpr double tie_cost = 0.005;

/// Returns the mean response time of a service, in ms, which is assumed for a
/// server that has not responded yet. If such a server counted as the fastest,
/// each node would send a request to every server before it sends a second one
/// to any.
double service_response_ms(const sampler_table::entry_list& candidates) {
    double sum = 0;
    int servers = 0;
    for (const auto* candidate : candidates) {
        const auto& row = candidate->second;
        if (row.mean_response_ms > 0) {
            sum += row.mean_response_ms;
            ++servers;
        }
    }
    return servers == 0 ? 0 : sum / servers;
}

} // namespace

std::optional<sampler_id> choose_plain_server(const sampler_table& table,
                                              const service_name& service,
                                              const base::zone_id& local_zone,
                                              const std::set<sampler_id>& tried,
                                              base::millis now) {
    const sampler_id* best = nullptr;
    double best_cost = 0;
    // Blocked servers are tried last but not skipped: all may be blocked
    // although only the first few failed, and a request that tries one is
    // better off than a request that waits.
    constexpr double blocked_cost = 1000;
    constexpr double silent_cost = 2000;
    constexpr double tried_cost = 100;
    constexpr double other_zone_cost = 0.25;
    // Cost of a server without an idle open connection. A node with a request
    // every few seconds would open a connection for each one if it took the
    // servers in turn. A larger cost would keep nodes at servers that have
    // become slow.
    constexpr double new_connection_cost = 0.02;
    const auto& candidates = table.request_candidates(service, local_zone);
    const double service_mean_ms = service_response_ms(candidates);
    for (const auto* candidate : candidates) {
        const auto& [id, row] = *candidate;
        const bool has_connection =
            !table.is_enabled(base::feature::known_servers_first) ||
            (row.last_response_at > 0 && row.in_flight == 0 &&
             now - row.last_response_at < idle_connection_ms);
        double cost = static_cast<double>(row.in_flight) /
                      std::max(1, row.registered.slots);
        cost += row.registered.zone == local_zone ? 0 : other_zone_cost;
        cost += now < row.blocked_until ? blocked_cost : 0;
        cost += row.is_silent() ? silent_cost : 0;
        cost += tried.count(id) != 0 ? tried_cost : 0;
        cost += (row.mean_response_ms > 0 ? row.mean_response_ms
                                          : service_mean_ms) /
                1000;
        cost += has_connection ? 0 : new_connection_cost;
        cost += tie_cost * row.tie_breaker;
        if (best == nullptr || cost < best_cost) {
            best = &id;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return *best;
}

} // namespace hibiscus::samplers
