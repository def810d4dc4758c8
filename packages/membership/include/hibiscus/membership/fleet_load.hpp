#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"

#include <array>

namespace hibiscus::membership {

/// What the nodes follow to learn of the other nodes and of the backend
/// servers.
enum class view_source {
    /// The records that each node and each server renews. Every renewal is read
    /// by every node, so the load on the store grows with the square of the
    /// fleet.
    registrations,
    /// The fleet view, which one node publishes and which has changes only.
    fleet_view,
};

/// What the store can carry for all nodes together.
struct store_capacity {
    double writes_per_s = 800;
    double reads_per_s = 2000;
    double read_bytes_per_s = 80e6;
};

/// The size of a fleet, which determines the load of following all
/// registrations.
struct fleet_size {
    int nodes = 0;
    int servers = 0;
    /// Mean size of the registration of a server, in bytes.
    double server_record_bytes = 0;
    /// Interval between two renewals of a server, in ms.
    base::millis server_renewal_ms = 1200;
};

/// Returns the bytes per second that all nodes together read from the store if
/// each of them follows all registrations.
double registration_read_load(const fleet_size& size);

/// Returns the source that the nodes should follow. Leaves `current` only if
/// the load clearly favors the other one, so that a fleet near the limit does
/// not switch back and forth.
view_source choose_view_source(view_source current, const fleet_size& size,
                               const store_capacity& capacity);

/// Returns the interval between two renewals of a node, in ms, at which `nodes`
/// nodes use at most a quarter of the writes that the store can carry.
base::millis node_renewal_interval(int nodes, const store_capacity& capacity);

/// Returns the interval between two reads of one partition, in ms, at which
/// `readers` nodes use at most `share` of the reads that the store can carry.
/// At least `min_ms` and at most `max_ms`.
base::millis follow_interval(int readers, const store_capacity& capacity,
                             double share, base::millis min_ms,
                             base::millis max_ms);

} // namespace hibiscus::membership

namespace hibiscus::base {

template <>
struct enum_names<membership::view_source> {
    static constexpr std::array<enum_name<membership::view_source>, 2> table{{
        {membership::view_source::registrations, "registrations"},
        {membership::view_source::fleet_view, "fleet_view"},
    }};
};

} // namespace hibiscus::base
