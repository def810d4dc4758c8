#include "store_monitor.hpp"

#include "platform/store_client.hpp"

#include <utility>

namespace hibiscus::entry {

namespace {

/// Interval between two checks for overdue calls to the store, in ms.
constexpr base::millis check_interval_ms = 50;

/// Interval between two probes of an unreachable store, in ms. A probe does not
/// wait for the one before, because a silent store leaves each of them hanging
/// for a second.
constexpr base::millis probe_interval_ms = 200;

} // namespace

store_monitor::store_monitor(node_state& state,
                             transport::upstream_client& client,
                             store::run_after_function run_after,
                             store::store_router::peer_list_function peers)
    : state_(state), client_(client), run_after_(std::move(run_after)),
      router_(
          state.clock, state.settings.store,
          [this, peers = std::move(peers)] { return relay_peers(peers); },
          [this] { cancel_direct_calls(); }) {}

void store_monitor::start() {
    check_store();
}

/// Returns the nodes that may relay calls to the store.
std::vector<base::endpoint> store_monitor::relay_peers(
    const store::store_router::peer_list_function& peers) const {
    return state_.settings.features.is_enabled(
               base::feature::call_through_nodes)
               ? peers()
               : std::vector<base::endpoint>();
}

/// Cancels the calls that were sent directly to the store, so that they are
/// repeated through another node at once instead of after their timeout of a
/// second. The job owner can then renew its lease before another node claims
/// it.
void store_monitor::cancel_direct_calls() {
    if (!state_.settings.features.is_enabled(
            base::feature::give_up_silent_store)) {
        return;
    }
    // Deferred, because the router may be in the middle of another call.
    run_after_(0, [this] {
        client_.end_calls_started_before(state_.settings.store,
                                         state_.clock.now());
    });
}

void store_monitor::check_store() {
    const bool unreachable = router_.check_unreachable();
    if (unreachable != store_unreachable_) {
        store_unreachable_ = unreachable;
        const auto& failed = router_.failed_partition();
        state_.log.write("store_link", {{"direct", !unreachable},
                                        {"topic", failed.topic},
                                        {"partition", failed.number}});
    }
    if (unreachable &&
        state_.clock.now() - last_probe_at_ >= probe_interval_ms) {
        last_probe_at_ = state_.clock.now();
        probe();
    }
    run_after_(check_interval_ms, [this] { check_store(); });
}

/// Probes the store directly. Once the probe succeeds, cancels all calls sent
/// before it. A store that was silent does not respond to calls from that time;
/// each would block reads and appends, and with them all trainers, for up to
/// another second.
void store_monitor::probe() {
    const auto started_at = state_.clock.now();
    adapter::probe_store(
        client_, state_.settings.store, router_.failed_partition(),
        [this, started_at](bool served) {
            if (!served || !router_.check_unreachable()) {
                return;
            }
            router_.mark_reachable(state_.clock.now() - started_at);
            client_.end_calls_started_before(state_.settings.store, started_at);
        });
}

} // namespace hibiscus::entry
