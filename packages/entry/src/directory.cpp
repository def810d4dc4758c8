#include "directory.hpp"

#include "platform/store_client.hpp"

#include <nlohmann/json.hpp>

namespace hibiscus::entry {

namespace {

/// How often a node says that it is there, in ms.
constexpr base::millis renew_ms = 500;

/// How often the entries of the others are read, in ms. Each renewal wakes
/// whoever reads: nodes that read on at once would ask as often as the store
/// answers, all together many thousand times a second.
constexpr base::millis read_pace_ms = 400;

} // namespace

directory::directory(node_state& state, const store::log_store& store,
                     store::delay_function after)
    : state_(state), store_(store), after_(after),
      nodes_(state.clock, state.config.node.str(), state.config.mechanisms),
      follower_(store, {adapter::nodes_topic, 0}, state.clock, after,
                {store::follower_times().wait, store::follower_times().retry,
                 [] { return read_pace_ms; }},
                {[this](const auto& changes) { apply(changes); },
                 [this](bool up) { nodes_.contact(up); }}) {}

void directory::start() {
    follower_.start();
    renew();
}

void directory::leave() {
    renew();
}

void directory::renew() {
    const nlohmann::json value{
        {"callers", to_string(state_.config.listen_callers)},
        {"nodes", to_string(state_.config.listen_metrics)},
        {"zone", state_.config.zone.str()},
        {"stopping", state_.stopping},
        {"cpu_share", state_.config.cpu_share}};
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
            nodes_.remove(c.key);
            continue;
        }
        const auto in = nlohmann::json::from_cbor(*c.value, true, false);
        if (!in.is_object()) {
            state_.log.write("record_skipped",
                             {{"topic", "nodes"}, {"key", c.key}});
            continue;
        }
        const auto address = base::parse_endpoint(in.value("callers", ""));
        const auto nodes = base::parse_endpoint(in.value("nodes", ""));
        if (address && nodes) {
            nodes_.put(c.key,
                       {*address, *nodes, base::zone_id(in.value("zone", "")),
                        in.value("stopping", false),
                        in.value("cpu_share", 1.0)});
        }
    }
}

} // namespace hibiscus::entry
