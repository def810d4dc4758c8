#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/ids.hpp"
#include "hibiscus/base/mechanisms.hpp"

#include <map>
#include <string>
#include <vector>

namespace hibiscus::entry {

/// What a node says of itself.
struct node_entry {
    base::endpoint callers;
    /// Where it takes calls of other nodes.
    base::endpoint nodes;
    base::zone_id zone;
    bool stopping = false;
    /// The processor time that it may use, as a share of a core.
    double cpu_share = 1;
};

/// The nodes, as far as they have renewed their entries lately.
class node_table {
public:
    node_table(base::clock clock, std::string self,
               base::mechanism_set mechanisms = {})
        : clock_(std::move(clock)), self_(std::move(self)),
          mechanisms_(mechanisms) {}

    void put(const std::string& name, node_entry entry);
    void remove(const std::string& name);

    /// The store was lost or is heard again. Meanwhile nobody's renewal
    /// arrives, so that those who were there at the loss count as there, and
    /// for a moment afterwards. Who was gone before stays gone: its address
    /// leads callers nowhere.
    void contact(bool up);

    /// Returns the nodes that callers in `zone` may use: those of the zone,
    /// or all if it has too few. Answers a fleet in which most nodes are small:
    /// a megabyte of results takes a third of a second through one with an
    /// eighth of a core, and each of many nodes opens connections to servers
    /// for the few requests that it gets. As long as the roomy ones have half
    /// of the processor time, callers are sent to these alone.
    std::vector<base::endpoint> addresses(const base::zone_id& zone) const;

    /// Returns where the other nodes take calls of nodes.
    std::vector<base::endpoint> peers() const;

private:
    struct row {
        node_entry entry;
        base::millis seen_at = 0;
    };

    bool is_there(const std::string& name, const row& r) const;
    static std::vector<const node_entry*>
    roomy(const std::vector<const node_entry*>& nodes);

    base::clock clock_;
    std::string self_;
    base::mechanism_set mechanisms_;
    std::map<std::string, row> rows_;
    bool up_ = false;
    base::millis up_at_ = 0;
    base::millis lost_at_ = 0;
};

} // namespace hibiscus::entry
