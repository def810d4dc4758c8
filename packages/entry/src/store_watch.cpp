#include "store_watch.hpp"

#include "platform/store_client.hpp"

#include <utility>

namespace hibiscus::entry {

namespace {

/// How often the link to the store is looked at, in ms: that a call is overdue
/// shows no sooner.
constexpr base::millis watch_ms = 50;

/// How often the store is tried while it is away, in ms. A try does not wait
/// for the one before: a silent store leaves each of them hanging for a second.
constexpr base::millis probe_ms = 200;

} // namespace

store_watch::store_watch(node_state& state, transport::upstream_client& client,
                         store::delay_function after,
                         store::store_link::peers_function peers)
    : state_(state), client_(client), after_(std::move(after)),
      link_(
          state.clock, state.config.store,
          [this, peers = std::move(peers)] { return helping(peers); },
          [this] { give_up_direct_calls(); }) {}

void store_watch::start() {
    watch();
}

/// Returns the nodes that may pass calls to the store on.
std::vector<base::endpoint>
store_watch::helping(const store::store_link::peers_function& peers) const {
    return state_.config.mechanisms.has(base::mechanism::call_through_nodes)
               ? peers()
               : std::vector<base::endpoint>();
}

/// An owner that is cut off from the store for a moment keeps the jobs if its
/// reads and appends go through another node before the others claim. Those
/// that hang would hold it up for a second.
void store_watch::give_up_direct_calls() {
    if (!state_.config.mechanisms.has(base::mechanism::give_up_silent_store)) {
        return;
    }
    // Not at once: the link may be in the middle of another call.
    after_(0, [this] {
        client_.abandon(state_.config.store, state_.clock.now());
    });
}

void store_watch::watch() {
    const bool away = link_.away();
    if (away != away_) {
        away_ = away;
        state_.log.write("store_link", {{"direct", !away}});
    }
    if (away && state_.clock.now() - last_probe_ >= probe_ms) {
        last_probe_ = state_.clock.now();
        probe();
    }
    after_(watch_ms, [this] { watch(); });
}

/// Tries the store itself. Once it serves, all that was asked before and has no
/// answer is given up: a store that was silent does not answer it any more, and
/// reads and appends would wait for up to another second while every trainer
/// stands still.
void store_watch::probe() {
    const auto began = state_.clock.now();
    adapter::probe_store(client_, state_.config.store, link_.lost_partition(),
                         [this, began](bool served) {
                             if (!served || !link_.away()) {
                                 return;
                             }
                             link_.back(state_.clock.now() - began);
                             client_.abandon(state_.config.store, began);
                         });
}

} // namespace hibiscus::entry
