#include "node_table.hpp"

#include <algorithm>
#include <iterator>

namespace hibiscus::entry {

namespace {

/// A node that has not renewed its entry for so long is left out, in ms:
/// three renewals and the time of a slow store.
constexpr base::millis expire_ms = 2000;

/// A zone with fewer nodes than this is helped by all others: one alone may
/// fail, and its callers would have to ask again.
constexpr std::size_t least_in_zone = 2;

/// A node with this share of the processor time of the largest one is roomy.
constexpr double roomy_share = 0.5;

/// Fewer roomy nodes than this don't serve a zone alone: callers that meet one
/// which has just failed need others to go to.
constexpr std::size_t least_roomy = 4;

/// Roomy nodes serve alone if they have this share of the processor time of
/// all, so that none gets more than twice its part.
constexpr double least_time_share = 0.5;

/// The most addresses that a caller takes from one answer.
constexpr std::size_t most_addresses = 64;

} // namespace

void node_table::put(const std::string& name, node_entry entry) {
    rows_[name] = {std::move(entry), clock_.now()};
}

void node_table::remove(const std::string& name) {
    rows_.erase(name);
}

void node_table::contact(bool up) {
    up_ = up;
    (up ? up_at_ : lost_at_) = clock_.now();
}

bool node_table::is_there(const std::string& name, const row& r) const {
    if (r.entry.stopping) {
        return false;
    }
    if (name == self_) {
        return true;
    }
    const auto now = clock_.now();
    if (up_ && now - r.seen_at < expire_ms) {
        return true;
    }
    const bool doubtful = !up_ || now - up_at_ < expire_ms;
    return doubtful && lost_at_ - r.seen_at < expire_ms;
}

std::vector<const node_entry*>
node_table::roomy(const std::vector<const node_entry*>& nodes) {
    double largest = 0;
    double all_time = 0;
    for (const auto* n : nodes) {
        largest = std::max(largest, n->cpu_share);
        all_time += n->cpu_share;
    }
    std::vector<const node_entry*> out;
    double time = 0;
    for (const auto* n : nodes) {
        if (n->cpu_share >= roomy_share * largest) {
            out.push_back(n);
            time += n->cpu_share;
        }
    }
    const bool enough =
        out.size() >= least_roomy && time >= least_time_share * all_time;
    return enough ? out : nodes;
}

std::vector<base::endpoint>
node_table::addresses(const base::zone_id& zone) const {
    std::vector<const node_entry*> near;
    std::vector<const node_entry*> all;
    for (const auto& [name, r] : rows_) {
        if (!is_there(name, r)) {
            continue;
        }
        all.push_back(&r.entry);
        if (r.entry.zone == zone) {
            near.push_back(&r.entry);
        }
    }
    auto chosen = near.size() >= least_in_zone ? near : all;
    if (mechanisms_.has(base::mechanism::roomy_nodes_first)) {
        chosen = roomy(chosen);
    }
    std::vector<base::endpoint> out;
    const auto most = std::min(chosen.size(), most_addresses);
    std::transform(
        chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(most),
        std::back_inserter(out), [](const auto* n) { return n->callers; });
    return out;
}

std::vector<base::endpoint> node_table::peers() const {
    std::vector<base::endpoint> out;
    for (const auto& [name, r] : rows_) {
        if (name != self_ && is_there(name, r)) {
            out.push_back(r.entry.nodes);
        }
    }
    return out;
}

} // namespace hibiscus::entry
