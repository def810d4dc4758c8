#pragma once

#include "node_state.hpp"

#include "hibiscus/store/follower.hpp"

#include <map>
#include <memory>
#include <vector>

namespace hibiscus::entry {

/// The nodes that callers may use, as they say themselves in the store. Each
/// renews its own record; one that does not is left out after a while.
class directory {
public:
    directory(node_state& state, const store::log_store& store,
              store::delay_function after);

    /// Starts to read and to renew.
    void start();

    /// Tells the others that this node stops.
    void leave();

    /// Returns the addresses for a caller in `zone`: the nodes of its zone,
    /// or all of them if the zone has too few.
    std::vector<base::endpoint> addresses(const base::zone_id& zone) const;

    /// Returns where other nodes that are there take calls of nodes.
    std::vector<base::endpoint> peers() const;

private:
    struct node_row {
        base::endpoint callers;
        base::endpoint nodes;
        base::zone_id zone;
        bool stopping = false;
        base::millis seen_at = 0;
    };

    bool is_fresh(const node_row& row) const;
    void renew();
    void apply(const std::vector<store::change>& changes);

    node_state& state_;
    const store::log_store& store_;
    store::delay_function after_;
    std::map<std::string, node_row> nodes_;
    store::follower follower_;
    bool contact_ = false;
    base::millis contact_at_ = 0;
    base::millis lost_at_ = 0;
};

} // namespace hibiscus::entry
