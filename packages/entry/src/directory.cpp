#include "directory.hpp"

#include "platform/store_client.hpp"

#include <nlohmann/json.hpp>

namespace hibiscus::entry {

namespace {

/// How often a node says that it is there, in ms.
constexpr base::millis renew_ms = 500;

/// A node that has not said so for this long is left out, in ms: three
/// renewals and the time of a slow store.
constexpr base::millis expire_ms = 2000;

/// A zone with fewer nodes than this is helped by all others: one alone may
/// fail, and its callers would have to ask again.
constexpr std::size_t least_in_zone = 2;

/// The most addresses that a caller takes from one answer.
constexpr std::size_t most_addresses = 64;

} // namespace

directory::directory(node_state& state, const store::log_store& store,
                     store::delay_function after)
    : state_(state), store_(store), after_(after),
      follower_(store, {adapter::nodes_topic, 0}, state.clock, after, {},
                {[this](const auto& changes) { apply(changes); },
                 [this](bool up) {
                     contact_ = up;
                     (up ? contact_at_ : lost_at_) = state_.clock.now();
                 }}) {}

void directory::start() {
    follower_.start();
    renew();
}

void directory::leave() {
    renew();
}

void directory::renew() {
    const nlohmann::json value{{"callers", to_string(state_.config.listen_callers)},
                               {"nodes", to_string(state_.config.listen_metrics)},
                               {"zone", state_.config.zone.str()},
                               {"stopping", state_.stopping}};
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    const bool last = state_.stopping;
    store_.append({adapter::nodes_topic, 0},
                  {{state_.config.node.str(), bytes}}, nullptr,
                  [this, last](const store::append_result&) {
                      // A lost renewal is made good by the next one.
                      if (!last) {
                          after_(renew_ms, [this] {
                              if (!state_.stopping) {
                                  renew();
                              }
                          });
                      }
                  });
}

void directory::apply(const std::vector<store::change>& changes) {
    for (const auto& c : changes) {
        if (!c.value) {
            nodes_.erase(c.key);
            continue;
        }
        const auto in = nlohmann::json::from_cbor(*c.value, true, false);
        if (!in.is_object()) {
            state_.log.write("record_skipped", {{"topic", "nodes"},
                                                {"key", c.key}});
            continue;
        }
        const auto address = base::parse_endpoint(in.value("callers", ""));
        const auto nodes = base::parse_endpoint(in.value("nodes", ""));
        if (address && nodes) {
            nodes_[c.key] = {*address, *nodes, base::zone_id(in.value("zone", "")),
                             in.value("stopping", false), state_.clock.now()};
        }
    }
}

bool directory::is_fresh(const node_row& row) const {
    // Without the store nobody's renewal arrives; the last list is the best
    // there is, and callers pass over addresses that fail.
    const auto now = state_.clock.now();
    return now - row.seen_at < expire_ms || !contact_ ||
           now - contact_at_ < expire_ms;
}

std::vector<base::endpoint> directory::peers() const {
    std::vector<base::endpoint> out;
    for (const auto& [name, row] : nodes_) {
        if (name != state_.config.node.str() && !row.stopping &&
            is_fresh(row)) {
            out.push_back(row.nodes);
        }
    }
    return out;
}

std::vector<base::endpoint>
directory::addresses(const base::zone_id& zone) const {
    std::vector<base::endpoint> near;
    std::vector<base::endpoint> all;
    for (const auto& [name, row] : nodes_) {
        const bool self = name == state_.config.node.str();
        if (row.stopping || !(is_fresh(row) || self)) {
            continue;
        }
        all.push_back(row.callers);
        if (row.zone == zone) {
            near.push_back(row.callers);
        }
    }
    if (all.empty() && !state_.stopping) {
        all.push_back(state_.config.listen_callers);
    }
    auto& out = near.size() >= least_in_zone ? near : all;
    if (out.size() > most_addresses) {
        out.resize(most_addresses);
    }
    return out;
}

} // namespace hibiscus::entry
