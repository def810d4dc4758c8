#include "hibiscus/membership/node_table.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace hibiscus::membership {

namespace {

/// Minimum time without a renewal after which a node is omitted, in ms: three
/// renewals of a small fleet and the delay of a slow store.
constexpr base::millis min_entry_ttl_ms = 2000;

/// Time without a renewal after which a node is omitted, in renewals.
constexpr double entry_ttl_renewals = 2.3;

base::millis entry_ttl(const node_entry& entry) {
    return std::max(
        min_entry_ttl_ms,
        static_cast<base::millis>(entry_ttl_renewals *
                                  static_cast<double>(entry.renewal_ms)));
}

/// Callers of a zone with fewer nodes get all nodes. A single node may fail,
/// and its callers would have to resolve again.
constexpr std::size_t min_nodes_in_zone = 2;

/// Fraction of the CPU share of the largest node from which a node counts as
/// large.
constexpr double large_node_cpu_share = 0.5;

/// Minimum number of large nodes that are returned alone. Callers of a node
/// that has just failed need others to retry at.
constexpr std::size_t min_large_nodes = 4;

/// Maximum number of addresses in one response.
constexpr std::size_t max_addresses = 64;

/// The large nodes are returned alone only if they have at least this fraction
/// of the CPU share of the nodes that would be returned otherwise, so that none
/// gets more than twice its part of the load.
constexpr double min_large_nodes_cpu_share = 0.5;

} // namespace

void node_table::put(const std::string& name, node_entry entry) {
    rows_[name] = {std::move(entry), clock_.now()};
}

void node_table::remove(const std::string& name) {
    rows_.erase(name);
}

void node_table::set_store_reachable(bool reachable) {
    store_reachable_ = reachable;
    (reachable ? store_reachable_since_ : store_unreachable_since_) =
        clock_.now();
}

void node_table::set_expiry_enabled(bool enabled) {
    if (enabled && !expiry_enabled_) {
        for (auto& row : rows_) {
            row.second.renewed_at = clock_.now();
        }
    }
    expiry_enabled_ = enabled;
}

void node_table::restart_expiry(base::millis unread_since) {
    for (auto& [name, row] : rows_) {
        if (unread_since - row.renewed_at < entry_ttl(row.entry)) {
            row.renewed_at = clock_.now();
        }
    }
}

bool node_table::is_alive(const std::string& name) const {
    const auto row = rows_.find(name);
    return row != rows_.end() && is_alive(name, row->second);
}

int node_table::count_alive() const {
    return static_cast<int>(
        std::count_if(rows_.begin(), rows_.end(), [this](const auto& row) {
            return is_alive(row.first, row.second);
        }));
}

bool node_table::is_alive(const std::string& name, const node_row& r) const {
    if (r.entry.stopping) {
        return false;
    }
    if (name == own_name_ || !expiry_enabled_) {
        return true;
    }
    const auto now = clock_.now();
    const auto entry_ttl_ms = entry_ttl(r.entry);
    if (store_reachable_ && now - r.renewed_at < entry_ttl_ms) {
        return true;
    }
    const bool renewals_delayed =
        !store_reachable_ || now - store_reachable_since_ < entry_ttl_ms;
    return renewals_delayed &&
           store_unreachable_since_ - r.renewed_at < entry_ttl_ms;
}

std::vector<const node_entry*>
node_table::select_large_nodes(const std::vector<const node_entry*>& nodes) {
    double largest = 0;
    double returned_cpu_share = 0;
    std::size_t position = 0;
    for (const auto* n : nodes) {
        largest = std::max(largest, n->cpu_share);
        returned_cpu_share += position++ < max_addresses ? n->cpu_share : 0;
    }
    std::vector<const node_entry*> large_nodes;
    double large_cpu_share = 0;
    for (const auto* n : nodes) {
        if (n->cpu_share >= large_node_cpu_share * largest) {
            large_nodes.push_back(n);
            large_cpu_share += n->cpu_share;
        }
    }
    const bool is_enough =
        large_nodes.size() >= min_large_nodes &&
        large_cpu_share >= min_large_nodes_cpu_share * returned_cpu_share;
    return is_enough ? large_nodes : nodes;
}

std::vector<const node_entry*>
node_table::select_caller_nodes(const base::zone_id& zone) const {
    std::vector<const node_entry*> zone_nodes;
    std::vector<const node_entry*> all;
    for (const auto& [name, r] : rows_) {
        if (!is_alive(name, r)) {
            continue;
        }
        all.push_back(&r.entry);
        if (r.entry.zone == zone) {
            zone_nodes.push_back(&r.entry);
        }
    }
    auto chosen = zone_nodes.size() >= min_nodes_in_zone ? zone_nodes : all;
    if (features_.is_enabled(base::feature::roomy_nodes_first)) {
        chosen = select_large_nodes(chosen);
    }
    chosen.resize(std::min(chosen.size(), max_addresses));
    return chosen;
}

std::vector<base::endpoint>
node_table::caller_addresses(const base::zone_id& zone) const {
    const auto chosen = select_caller_nodes(zone);
    std::vector<base::endpoint> addresses;
    std::transform(chosen.begin(), chosen.end(), std::back_inserter(addresses),
                   [](const auto* n) { return n->caller_address; });
    return addresses;
}

bool node_table::is_caller_facing() const {
    const auto own = rows_.find(own_name_);
    if (own == rows_.end()) {
        return false;
    }
    const auto& entry = own->second.entry;
    const auto chosen = select_caller_nodes(entry.zone);
    return std::find(chosen.begin(), chosen.end(), &entry) != chosen.end();
}

int node_table::count_caller_facing() const {
    std::set<base::zone_id> zones;
    for (const auto& row : rows_) {
        zones.insert(row.second.entry.zone);
    }
    std::set<const node_entry*> nodes;
    for (const auto& zone : zones) {
        const auto chosen = select_caller_nodes(zone);
        nodes.insert(chosen.begin(), chosen.end());
    }
    return static_cast<int>(nodes.size());
}

std::vector<base::endpoint> node_table::peer_addresses() const {
    std::vector<base::endpoint> addresses;
    for (const auto& [name, r] : rows_) {
        if (name != own_name_ && is_alive(name, r)) {
            addresses.push_back(r.entry.peer_address);
        }
    }
    return addresses;
}

} // namespace hibiscus::membership
