#include "server_registry.hpp"

#include "platform/documents.hpp"
#include "platform/store_client.hpp"

namespace hibiscus::entry {

namespace {

/// Time after an outage of the store during which the removal of a registration
/// is not trusted, in ms. Running servers register again within two seconds.
constexpr base::millis reregistration_ms = 2200;

/// Interval between two reads of the registrations, in ms. Each server renews
/// its own every 1.2 s, so with 60 servers there is always something to read.
constexpr base::millis poll_interval_ms = 100;

} // namespace

server_registry::server_registry(node_state& state,
                                 const store::log_store& log_store,
                                 const store::run_after_function& run_after)
    : state_(state), run_after_(run_after),
      watcher_(log_store, {adapter::registry_topic, 0}, state.clock, run_after,
               {store::watcher_times().read_wait_ms,
                store::watcher_times().retry_delay_ms,
                [] { return poll_interval_ms; }},
               {[this](const auto& changes) { apply_changes(changes); },
                [this](bool reachable) { set_store_reachable(reachable); }}) {}

void server_registry::apply_changes(const std::vector<store::change>& changes) {
    for (const auto& c : changes) {
        const samplers::sampler_id id(c.key);
        const auto entry =
            c.value ? adapter::decode_registration(*c.value) : std::nullopt;
        if (entry) {
            state_.samplers.put(id, *entry);
            continue;
        }
        if (c.value) {
            state_.log.write("record_skipped",
                             {{"topic", "registry"}, {"key", c.key}});
        }
        const auto now = state_.clock.now();
        const bool removal_uncertain =
            !store_reachable_ ||
            now - store_reachable_since_ < reregistration_ms;
        state_.log.write("server_gone",
                         {{"server", id}, {"believed", !removal_uncertain}});
        if (removal_uncertain) {
            state_.samplers.mark_unlisted(id);
        } else {
            state_.samplers.remove(id);
        }
    }
}

void server_registry::set_store_reachable(bool reachable) {
    store_reachable_ = reachable;
    state_.log.write("dependency", {{"name", "store"}, {"up", reachable}});
    if (!reachable) {
        return;
    }
    store_reachable_since_ = state_.clock.now();
    const auto reconnect = ++reconnects_;
    run_after_(reregistration_ms, [this, reconnect] {
        if (reconnect == reconnects_ && store_reachable_) {
            state_.samplers.remove_unlisted();
        }
    });
}

} // namespace hibiscus::entry
