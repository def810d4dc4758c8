#include "hibiscus/samplers/plain_placement.hpp"

#include <algorithm>

namespace hibiscus::samplers {

namespace {

/// A server that answered so lately may have kept its connection, in ms:
/// servers close idle ones after some seconds. Where one has not, nothing is
/// lost.
constexpr base::millis warm_connection_ms = 8000;

/// Parts servers that are alike, so that not all nodes choose the same: less
/// than the difference of any two answers that counts.
constexpr double tie_cost = 0.005;

/// Returns the mean time of answers of a service, in ms; what a server counts
/// with that was not asked yet. Counted as the fastest, each server would be
/// asked by each node before any is asked twice.
double service_response_ms(const sampler_table& table,
                           const service_name& service) {
    double sum = 0;
    int seen = 0;
    for (const auto& [id, row] : table.rows()) {
        if (row.registered.service == service && row.mean_response_ms > 0) {
            sum += row.mean_response_ms;
            ++seen;
        }
    }
    return seen == 0 ? 0 : sum / seen;
}

} // namespace

std::optional<sampler_id> choose_plain_server(const sampler_table& table,
                                              const service_name& service,
                                              const base::zone_id& near,
                                              const std::set<sampler_id>& tried,
                                              base::millis now) {
    const sampler_id* best = nullptr;
    double best_cost = 0;
    // A request that waits for a blocked server is worse off than one that
    // tries it: all may be blocked while only the first few were at fault.
    constexpr double blocked_cost = 1000;
    constexpr double tried_cost = 100;
    constexpr double far_cost = 0.25;
    // A node with a request each few seconds would open a connection for each
    // if it went through the servers in turn. A larger cost would keep nodes at
    // servers that have become slow.
    constexpr double cold_cost = 0.02;
    const double usual = service_response_ms(table, service);
    for (const auto& [id, row] : table.rows()) {
        if (row.registered.service != service || row.registered.draining ||
            row.unlisted) {
            continue;
        }
        const bool warm =
            !table.is_enabled(base::feature::known_servers_first) ||
            (row.last_response_at > 0 && row.in_flight == 0 &&
             now - row.last_response_at < warm_connection_ms);
        double cost = static_cast<double>(row.in_flight) /
                      std::max(1, row.registered.slots);
        cost += row.registered.zone == near ? 0 : far_cost;
        cost += now < row.blocked_until ? blocked_cost : 0;
        cost += tried.count(id) != 0 ? tried_cost : 0;
        cost +=
            (row.mean_response_ms > 0 ? row.mean_response_ms : usual) / 1000;
        cost += warm ? 0 : cold_cost;
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
