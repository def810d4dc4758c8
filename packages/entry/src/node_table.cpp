#include "node_table.hpp"

#include <algorithm>
#include <iterator>

namespace hibiscus::entry {

namespace {

/// A node that has not renewed its entry for so long is left out, in ms:
/// three renewals and the time of a slow store.
constexpr base::millis entry_ttl_ms = 2000;

/// A zone with fewer nodes than this is helped by all others: one alone may
/// fail, and its callers would have to ask again.
constexpr std::size_t min_nodes_in_zone = 2;

/// A node with this share of the processor time of the largest one is roomy.
constexpr double large_node_cpu_share = 0.5;

/// Fewer roomy nodes than this don't serve a zone alone: callers that meet one
/// which has just failed need others to go to.
constexpr std::size_t min_large_nodes = 4;

/// Roomy nodes serve alone if they have this share of the processor time of
/// all, so that none gets more than twice its part.
constexpr double min_large_nodes_cpu_share = 0.5;

/// The most addresses that a caller takes from one answer.
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
    (reachable ? store_reachable_since_ : store_lost_at_) = clock_.now();
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
    return renewals_delayed && store_lost_at_ - r.renewed_at < entry_ttl_ms;
}

std::vector<const node_entry*>
node_table::select_large_nodes(const std::vector<const node_entry*>& nodes) {
    double largest = 0;
    double total_cpu_share = 0;
    for (const auto* n : nodes) {
        largest = std::max(largest, n->cpu_share);
        total_cpu_share += n->cpu_share;
    }
    std::vector<const node_entry*> out;
    double large_cpu_share = 0;
    for (const auto* n : nodes) {
        if (n->cpu_share >= large_node_cpu_share * largest) {
            out.push_back(n);
            large_cpu_share += n->cpu_share;
        }
    }
    const bool is_enough =
        out.size() >= min_large_nodes &&
        large_cpu_share >= min_large_nodes_cpu_share * total_cpu_share;
    return is_enough ? out : nodes;
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
    std::vector<base::endpoint> out;
    const auto count = std::min(chosen.size(), max_addresses);
    std::transform(chosen.begin(),
                   chosen.begin() + static_cast<std::ptrdiff_t>(count),
                   std::back_inserter(out),
                   [](const auto* n) { return n->caller_address; });
    return out;
}

std::vector<base::endpoint> node_table::peer_addresses() const {
    std::vector<base::endpoint> out;
    for (const auto& [name, r] : rows_) {
        if (name != own_name_ && is_alive(name, r)) {
            out.push_back(r.entry.peer_address);
        }
    }
    return out;
}

} // namespace hibiscus::entry
