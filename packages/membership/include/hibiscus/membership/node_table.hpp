#pragma once

#include "hibiscus/admission/shares.hpp"
#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/features.hpp"
#include "hibiscus/base/ids.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace hibiscus::membership {

/// What a node wants of services, by the name of the service.
using service_demands = std::map<std::string, admission::node_demand>;

/// The record in which a node announces itself.
struct node_entry {
    base::endpoint caller_address;
    /// Address on which the node accepts calls from other nodes.
    base::endpoint peer_address;
    base::zone_id zone;
    bool stopping = false;
    /// CPU share of the node, in cores.
    double cpu_share = 1;
    /// Interval between two renewals of the record, in ms.
    base::millis renewal_ms = 500;
    /// At most max_demands services, only those that the node uses.
    service_demands demands{};
};

/// Largest number of services of which a node announces its demand.
constexpr std::size_t max_demands = 16;

/// The known nodes, each with the time of its last renewal.
class node_table {
public:
    node_table(base::clock clock, std::string own_name,
               base::feature_set features = {})
        : clock_(std::move(clock)), own_name_(std::move(own_name)),
          features_(features) {}

    /// Adds or renews a node.
    void put(const std::string& name, node_entry entry);
    void remove(const std::string& name);
    void clear() { rows_.clear(); }

    /// Sets whether nodes that are not renewed expire. They do unless the rows
    /// come from a publisher, which removes the nodes that have expired.
    /// When it is enabled, all rows count as renewed now.
    void set_expiry_enabled(bool enabled);

    /// Called when the store becomes reachable or unreachable. Renewals go
    /// through the store, so during an outage, and for a short time after it, a
    /// node counts as alive if it was alive when the outage began. A node that
    /// had expired before stays omitted, because nothing listens at its address
    /// any more.
    void set_store_reachable(bool reachable);

    /// Returns the addresses of the nodes that callers in `zone` may use: the
    /// nodes of the zone, or all nodes if the zone has too few. If there are at
    /// least four large nodes and they hold at least half of the CPU share of
    /// the nodes that fit into a response, only these are returned. In a fleet
    /// of mostly small nodes, a megabyte of results takes a third of a second
    /// through a node with an eighth of a core, and each of many nodes opens
    /// connections to servers for the few requests that it gets.
    std::vector<base::endpoint>
    caller_addresses(const base::zone_id& zone) const;

    /// Called when the renewals can be read again which could not be read since
    /// `unread_since`. The rows that had not expired then count as renewed now.
    void restart_expiry(base::millis unread_since);

    /// Returns true if caller_addresses() of the zone of this node includes
    /// this node.
    bool is_caller_facing() const;

    /// Returns the number of nodes that callers of any zone may use.
    int count_caller_facing() const;

    /// Returns the number of nodes that are alive.
    int count_alive() const;

    /// Returns true if the node is alive.
    bool is_alive(const std::string& name) const;

    /// Returns true if the node was added and not removed.
    bool is_known(const std::string& name) const {
        return rows_.count(name) != 0;
    }

    struct node_row {
        node_entry entry;
        base::millis renewed_at = 0;
    };

    /// Returns the known nodes by name, including those that have expired.
    const std::map<std::string, node_row>& rows() const { return rows_; }

    /// Returns the peer addresses of all other nodes that are alive.
    std::vector<base::endpoint> peer_addresses() const;

private:
    bool is_alive(const std::string& name, const node_row& r) const;
    std::vector<const node_entry*>
    select_caller_nodes(const base::zone_id& zone) const;
    static std::vector<const node_entry*>
    select_large_nodes(const std::vector<const node_entry*>& nodes);

    base::clock clock_;
    std::string own_name_;
    base::feature_set features_;
    std::map<std::string, node_row> rows_;
    bool expiry_enabled_ = true;
    bool store_reachable_ = false;
    base::millis store_reachable_since_ = 0;
    base::millis store_unreachable_since_ = 0;
};

} // namespace hibiscus::membership
