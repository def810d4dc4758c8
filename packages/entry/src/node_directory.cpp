#include "node_directory.hpp"

#include "platform/store_client.hpp"

#include <nlohmann/json.hpp>

namespace hibiscus::entry {

namespace {

/// Interval between two renewals of the own record, in ms.
constexpr base::millis renew_interval_ms = 500;

/// Interval between two reads of the records, in ms. Each renewal completes the
/// pending reads of all nodes. If they read again at once, the nodes together
/// would send many thousand reads a second and saturate the store.
constexpr base::millis poll_interval_ms = 400;

} // namespace

node_directory::node_directory(node_state& state,
                               const store::log_store& log_store,
                               store::run_after_function run_after)
    : state_(state), log_store_(log_store), run_after_(run_after),
      nodes_(state.clock, state.settings.node.str(), state.settings.features),
      watcher_(
          log_store, {adapter::nodes_topic, 0}, state.clock, run_after,
          {store::watcher_times().read_wait_ms,
           store::watcher_times().retry_delay_ms,
           [] { return poll_interval_ms; }},
          {[this](const auto& changes) { apply_changes(changes); },
           [this](bool reachable) { nodes_.set_store_reachable(reachable); }}) {
}

void node_directory::start() {
    watcher_.start();
    renew_registration();
}

void node_directory::announce_shutdown() {
    renew_registration();
}

void node_directory::renew_registration() {
    const nlohmann::json value{
        {"callers", to_string(state_.settings.listen_callers)},
        {"nodes", to_string(state_.settings.listen_metrics)},
        {"zone", state_.settings.zone.str()},
        {"stopping", state_.stopping},
        {"true_time", state_.true_time()},
        {"cpu_share", state_.settings.cpu_share}};
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    const bool is_final = state_.stopping;
    log_store_.append({adapter::nodes_topic, 0},
                      {{state_.settings.node.str(), bytes}}, nullptr,
                      [this, is_final](const store::append_result&) {
                          // The next renewal makes up for one that failed.
                          if (!is_final) {
                              run_after_(renew_interval_ms, [this] {
                                  if (!state_.stopping) {
                                      renew_registration();
                                  }
                              });
                          }
                      });
}

void node_directory::apply_changes(const std::vector<store::change>& changes) {
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
        const auto caller_address =
            base::parse_endpoint(in.value("callers", ""));
        const auto peer_address = base::parse_endpoint(in.value("nodes", ""));
        const auto true_time = in.value("true_time", base::millis{0});
        if (true_time > 0 && c.key != state_.settings.node.str()) {
            state_.wall_clock.on_peer_time(c.key, true_time,
                                           base::read_clocks(state_.clock));
        }
        if (caller_address && peer_address) {
            nodes_.put(c.key, {*caller_address, *peer_address,
                               base::zone_id(in.value("zone", "")),
                               in.value("stopping", false),
                               in.value("cpu_share", 1.0)});
        }
    }
}

} // namespace hibiscus::entry
