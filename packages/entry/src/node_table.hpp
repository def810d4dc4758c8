#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/features.hpp"
#include "hibiscus/base/ids.hpp"

#include <map>
#include <string>
#include <vector>

namespace hibiscus::entry {

/// What a node says of itself.
struct node_entry {
    base::endpoint caller_address;
    /// Where it takes calls of other nodes.
    base::endpoint peer_address;
    base::zone_id zone;
    bool stopping = false;
    /// The processor time that it may use, as a share of a core.
    double cpu_share = 1;
};

/// The nodes, as far as they have renewed their entries lately.
class node_table {
public:
    node_table(base::clock clock, std::string own_name,
               base::feature_set features = {})
        : clock_(std::move(clock)), own_name_(std::move(own_name)),
          features_(features) {}

    void put(const std::string& name, node_entry entry);
    void remove(const std::string& name);

    /// The store was lost or is heard again. Meanwhile nobody's renewal
    /// arrives, so that those who were there at the loss count as there, and
    /// for a moment afterwards. Who was gone before stays gone: its address
    /// leads callers nowhere.
    void set_store_reachable(bool reachable);

    /// Returns the nodes that callers in `zone` may use: those of the zone,
    /// or all if it has too few. Answers a fleet in which most nodes are small:
    /// a megabyte of results takes a third of a second through one with an
    /// eighth of a core, and each of many nodes opens connections to servers
    /// for the few requests that it gets. As long as the roomy ones have half
    /// of the processor time, callers are sent to these alone.
    std::vector<base::endpoint>
    caller_addresses(const base::zone_id& zone) const;

    /// Returns where the other nodes take calls of nodes.
    std::vector<base::endpoint> peer_addresses() const;

private:
    struct row {
        node_entry entry;
        base::millis renewed_at = 0;
    };

    bool is_alive(const std::string& name, const row& r) const;
    static std::vector<const node_entry*>
    select_large_nodes(const std::vector<const node_entry*>& nodes);

    base::clock clock_;
    std::string own_name_;
    base::feature_set features_;
    std::map<std::string, row> rows_;
    bool store_reachable_ = false;
    base::millis store_reachable_since_ = 0;
    base::millis store_lost_at_ = 0;
};

} // namespace hibiscus::entry
