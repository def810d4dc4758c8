// The part of engine_coordinator that orders version swaps of engines.

#include "hibiscus/cluster/engine_coordinator.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr int max_backoff_doublings = 5;

} // namespace

void engine_coordinator::on_order_result(
    base::millis now, const base::engine_id& engine,
    std::optional<wire::order_result> result) {
    const auto it = engines_.find(engine);
    if (it == engines_.end() || !it->second.order) {
        return;
    }
    auto& state = it->second;
    if (result == wire::order_result::done) {
        state.order->executed_at = now;
        return;
    }
    const auto sent_at = state.order->sent_at;
    state.order.reset();
    delay_next_order(now, state);
    if (!result && !state.traits.checks_fencing) {
        // The order may still arrive. It could overtake a newer order that is
        // sent now, and the engine would return to an older version.
        state.order_not_before = std::max(
            state.order_not_before, sent_at + state.traits.order_lifetime);
    }
    if (result == wire::order_result::fenced) {
        state.epoch = 0;
    }
}

void engine_coordinator::delay_next_order(base::millis now,
                                          engine_state& engine) const {
    // Without a backoff, a swap that fails at once would be repeated at once
    // and would keep the engine from serving its streams.
    const int doublings =
        std::min(engine.order_failures++, max_backoff_doublings);
    engine.order_not_before = now + (options_.order_backoff << doublings);
}

void engine_coordinator::check_completed_order(base::millis now,
                                               engine_state& engine) const {
    if (!engine.order || !engine.order->executed_at) {
        return;
    }
    const auto& order = engine.order->order;
    if (engine.served_version_of(order.trainer) >= order.version) {
        engine.order.reset();
        engine.order_failures = 0;
    } else if (now - *engine.order->executed_at >
               options_.order_confirmation_timeout) {
        // The engine reported the swap as done but serves another version.
        engine.order.reset();
        delay_next_order(now, engine);
    }
}

void engine_coordinator::request_epoch(base::millis now) {
    if (!epoch_needed_ || epoch_pending_ || now < epoch_not_before_) {
        return;
    }
    epoch_needed_ = false;
    epoch_pending_ = true;
    for (auto& [id, engine] : engines_) {
        engine.epoch_pending = engine.epoch == 0;
    }
    effects_.push_back(append_epoch{});
}

void engine_coordinator::on_epoch_appended(std::int64_t epoch) {
    epoch_pending_ = false;
    for (auto& [id, engine] : engines_) {
        // An engine that was assigned to this node after the append started may
        // have received orders of another home node under a later epoch.
        if (std::exchange(engine.epoch_pending, false)) {
            engine.epoch = epoch;
            engine.sequence = 0;
        }
    }
}

void engine_coordinator::on_epoch_append_failed(base::millis retry_at) {
    epoch_pending_ = false;
    epoch_not_before_ = retry_at;
    for (auto& [id, engine] : engines_) {
        engine.epoch_pending = false;
    }
}

std::vector<const wire::trainer_version*> engine_coordinator::due_swaps(
    const engine_state& engine,
    const std::vector<wire::trainer_version>& wanted) {
    const auto& trainers = engine.traits.trainers;
    std::vector<const wire::trainer_version*> due;
    for (const auto& version : wanted) {
        const bool uses_engine = std::find(trainers.begin(), trainers.end(),
                                           version.trainer) != trainers.end();
        if (uses_engine &&
            engine.served_version_of(version.trainer) < version.version) {
            due.push_back(&version);
        }
    }
    return due;
}

void engine_coordinator::order_next_swap(
    base::millis now, const base::engine_id& id, engine_state& engine,
    const std::vector<wire::trainer_version>& wanted) {
    if (engine.order || !engine.has_responded || engine.traits.leaving) {
        return;
    }
    const auto due = due_swaps(engine, wanted);
    if (due.empty()) {
        return;
    }
    if (engine.epoch == 0) {
        epoch_needed_ = epoch_needed_ || !engine.epoch_pending;
        return;
    }
    if (now < engine.order_not_before) {
        return;
    }
    const auto next =
        std::find_if(due.begin(), due.end(), [&](const auto* swap) {
            return !may_swap_ || may_swap_(now, id, *swap);
        });
    if (next == due.end()) {
        engine.order_not_before = now + options_.swap_check_interval;
        return;
    }
    const wire::version_order order{
        (*next)->trainer, (*next)->version, {engine.epoch, ++engine.sequence}};
    engine.order = pending_order{order, now, std::nullopt};
    effects_.push_back(
        send_order{id, order, now + engine.traits.order_lifetime});
}

} // namespace hibiscus::cluster
