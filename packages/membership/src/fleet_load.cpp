#include "hibiscus/membership/fleet_load.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscus::membership {

namespace {

constexpr double ms_per_s = 1000;

/// Interval between two renewals of a node in a small fleet, in ms.
constexpr base::millis min_node_renewal_ms = 500;

/// Longest interval between two renewals of a node, in ms. A node that has
/// missed two of them is omitted, and its callers should not wait for longer.
constexpr base::millis max_node_renewal_ms = 1500;

/// Size of a node's registration with its key, in bytes.
constexpr double node_record_bytes = 190;

/// Framing and key of a server's registration, in bytes.
constexpr double record_overhead_bytes = 24;

/// Share of the store's read bandwidth above which the fleet view is published,
/// and below which the nodes follow the registrations again.
constexpr double publish_above = 0.5;
constexpr double stop_publishing_below = 0.25;

constexpr double renewal_share_of_writes = 0.25;

base::millis interval_for(double calls, double calls_per_s) {
    return static_cast<base::millis>(std::ceil(calls * ms_per_s / calls_per_s));
}

} // namespace

double registration_read_load(const fleet_size& size) {
    const auto nodes = static_cast<double>(size.nodes);
    const double node_bytes_per_s =
        nodes * node_record_bytes * ms_per_s / min_node_renewal_ms;
    const double server_bytes_per_s =
        size.servers * (size.server_record_bytes + record_overhead_bytes) *
        ms_per_s / static_cast<double>(size.server_renewal_ms);
    return nodes * (node_bytes_per_s + server_bytes_per_s);
}

view_source choose_view_source(view_source current, const fleet_size& size,
                               const store_capacity& capacity) {
    const double share =
        registration_read_load(size) / capacity.read_bytes_per_s;
    if (share > publish_above) {
        return view_source::fleet_view;
    }
    return share < stop_publishing_below ? view_source::registrations : current;
}

base::millis node_renewal_interval(int nodes, const store_capacity& capacity) {
    return std::clamp(
        interval_for(nodes, renewal_share_of_writes * capacity.writes_per_s),
        min_node_renewal_ms, max_node_renewal_ms);
}

base::millis follow_interval(int readers, const store_capacity& capacity,
                             double share, base::millis min_ms,
                             base::millis max_ms) {
    const auto interval_ms =
        interval_for(readers, share * capacity.reads_per_s);
    return std::max(min_ms, std::min(interval_ms, max_ms));
}

} // namespace hibiscus::membership
