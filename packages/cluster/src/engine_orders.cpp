// The orders of an engine_home: which version an engine is to serve, and under
// which epoch.

#include "hibiscus/cluster/engine_coordinator.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr int max_backoff_doublings = 5;

} // namespace

void engine_coordinator::on_order_result(
    base::millis now, const base::engine_id& engine,
    std::optional<wire::order_result> verdict) {
    const auto at = engines_.find(engine);
    if (at == engines_.end() || !at->second.order) {
        return;
    }
    auto& row = at->second;
    if (verdict == wire::order_result::done) {
        row.order->done_at = now;
        return;
    }
    const auto sent_at = row.order->sent_at;
    row.order.reset();
    delay_next_order(now, row);
    if (!verdict && !row.traits.checks_fencing) {
        // The order may still arrive. Sent now, a newer one could be
        // overtaken by it, and the engine would go back a version.
        row.order_not_before =
            std::max(row.order_not_before, sent_at + row.traits.order_lifetime);
    }
    if (verdict == wire::order_result::fenced) {
        row.epoch = 0;
    }
}

void engine_coordinator::delay_next_order(base::millis now,
                                          engine_state& engine) const {
    // A swap that fails at once would be ordered again at once and keep the
    // engine from its streams; it serves what it has meanwhile.
    const int doublings =
        std::min(engine.order_failures++, max_backoff_doublings);
    engine.order_not_before = now + (options_.order_backoff << doublings);
}

void engine_coordinator::check_completed_order(base::millis now,
                                               engine_state& engine) const {
    if (!engine.order || !engine.order->done_at) {
        return;
    }
    const auto& order = engine.order->order;
    if (engine.served_version_of(order.trainer) >= order.version) {
        engine.order.reset();
        engine.order_failures = 0;
    } else if (now - *engine.order->done_at >
               options_.order_confirmation_timeout) {
        // It said that the swap was done and serves another version.
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
        // An engine that came to this home after the append may have been
        // ordered by another home under a later epoch.
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
    const auto& served = engine.traits.trainers;
    std::vector<const wire::trainer_version*> due;
    for (const auto& w : wanted) {
        const bool ours =
            std::find(served.begin(), served.end(), w.trainer) != served.end();
        if (ours && engine.served_version_of(w.trainer) < w.version) {
            due.push_back(&w);
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
