#include "node_table.hpp"

namespace hibiscus::entry {

namespace {

/// A node that has not renewed its entry for so long is left out, in ms:
/// three renewals and the time of a slow store.
constexpr base::millis expire_ms = 2000;

/// A zone with fewer nodes than this is helped by all others: one alone may
/// fail, and its callers would have to ask again.
constexpr std::size_t least_in_zone = 2;

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

std::vector<base::endpoint>
node_table::addresses(const base::zone_id& zone) const {
    std::vector<base::endpoint> near;
    std::vector<base::endpoint> all;
    for (const auto& [name, r] : rows_) {
        if (!is_there(name, r)) {
            continue;
        }
        all.push_back(r.entry.callers);
        if (r.entry.zone == zone) {
            near.push_back(r.entry.callers);
        }
    }
    auto& out = near.size() >= least_in_zone ? near : all;
    if (out.size() > most_addresses) {
        out.resize(most_addresses);
    }
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
