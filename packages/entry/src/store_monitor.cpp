#include "store_monitor.hpp"

#include "platform/store_client.hpp"

#include <utility>

namespace hibiscus::entry {

namespace {

/// How often the link to the store is looked at, in ms: that a call is overdue
/// shows no sooner.
constexpr base::millis check_interval_ms = 50;

/// How often the store is tried while it is away, in ms. A try does not wait
/// for the one before: a silent store leaves each of them hanging for a second.
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

/// Returns the nodes that may pass calls to the store on.
std::vector<base::endpoint> store_monitor::relay_peers(
    const store::store_router::peer_list_function& peers) const {
    return state_.settings.features.is_enabled(
               base::feature::call_through_nodes)
               ? peers()
               : std::vector<base::endpoint>();
}

/// An owner that is cut off from the store for a moment keeps the jobs if its
/// reads and appends go through another node before the others claim. Those
/// that hang would hold it up for a second.
void store_monitor::cancel_direct_calls() {
    if (!state_.settings.features.is_enabled(
            base::feature::give_up_silent_store)) {
        return;
    }
    // Not at once: the link may be in the middle of another call.
    run_after_(0, [this] {
        client_.end_calls_started_before(state_.settings.store,
                                         state_.clock.now());
    });
}

void store_monitor::check_store() {
    const bool unreachable = router_.check_unreachable();
    if (unreachable != store_unreachable_) {
        store_unreachable_ = unreachable;
        state_.log.write("store_link", {{"direct", !unreachable}});
    }
    if (unreachable &&
        state_.clock.now() - last_probe_at_ >= probe_interval_ms) {
        last_probe_at_ = state_.clock.now();
        probe();
    }
    run_after_(check_interval_ms, [this] { check_store(); });
}

/// Tries the store itself. Once it serves, all that was asked before and has no
/// answer is given up: a store that was silent does not answer it any more, and
/// reads and appends would wait for up to another second while every trainer
/// stands still.
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
