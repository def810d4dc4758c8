#include "node_table.hpp"

#include <algorithm>
#include <iterator>

namespace hibiscus::entry {

namespace {

/// Time without a renewal after which a node is omitted, in ms: three renewals
/// and the delay of a slow store.
constexpr base::millis entry_ttl_ms = 2000;

/// Callers of a zone with fewer nodes get all nodes. A single node may fail,
/// and its callers would have to resolve again.
constexpr std::size_t min_nodes_in_zone = 2;

/// Fraction of the CPU share of the largest node from which a node counts as
/// large.
constexpr double large_node_cpu_share = 0.5;

/// Minimum number of large nodes that are returned alone. Callers of a node
/// that has just failed need others to retry at.
constexpr std::size_t min_large_nodes = 4;

/// Minimum fraction of the total CPU share that the large nodes must have to be
/// returned alone, so that none gets more than twice its part of the load.
constexpr double min_large_nodes_cpu_share = 0.5;

/// Maximum number of addresses in one response.
constexpr std::size_t max_addresses = 64;

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

bool node_table::is_alive(const std::string& name, const row& r) const {
    if (r.entry.stopping) {
        return false;
    }
    if (name == own_name_) {
        return true;
    }
    const auto now = clock_.now();
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
    double total_cpu_share = 0;
    for (const auto* n : nodes) {
        largest = std::max(largest, n->cpu_share);
        total_cpu_share += n->cpu_share;
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
        large_cpu_share >= min_large_nodes_cpu_share * total_cpu_share;
    return is_enough ? large_nodes : nodes;
}

std::vector<base::endpoint>
node_table::caller_addresses(const base::zone_id& zone) const {
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
    std::vector<base::endpoint> addresses;
    const auto count = std::min(chosen.size(), max_addresses);
    std::transform(chosen.begin(),
                   chosen.begin() + static_cast<std::ptrdiff_t>(count),
                   std::back_inserter(addresses),
                   [](const auto* n) { return n->caller_address; });
    return addresses;
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

} // namespace hibiscus::entry
