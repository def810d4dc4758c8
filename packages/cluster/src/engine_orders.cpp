// The orders of an engine_home: which version an engine is to serve, and under
// which epoch.

#include "hibiscus/cluster/engine_home.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr int backoff_doublings = 5;

} // namespace

void engine_home::ordered(base::millis now, const base::engine_id& engine,
                          std::optional<wire::order_verdict> verdict) {
    const auto at = engines_.find(engine);
    if (at == engines_.end() || !at->second.order) {
        return;
    }
    auto& row = at->second;
    if (verdict == wire::order_verdict::done) {
        row.order->done_at = now;
        return;
    }
    const auto sent_at = row.order->sent_at;
    row.order.reset();
    back_off(now, row);
    if (!verdict && !row.traits.checks_fencing) {
        // The order may still arrive. Sent now, a newer one could be
        // overtaken by it, and the engine would go back a version.
        row.order_not_before =
            std::max(row.order_not_before, sent_at + row.traits.order_life);
    }
    if (verdict == wire::order_verdict::fenced) {
        row.epoch = 0;
    }
}

void engine_home::back_off(base::millis now, homed_engine& engine) const {
    // A swap that fails at once would be ordered again at once and keep the
    // engine from its streams; it serves what it has meanwhile.
    const int doublings = std::min(engine.order_failures++, backoff_doublings);
    engine.order_not_before = now + (times_.order_backoff << doublings);
}

void engine_home::check_order(base::millis now, homed_engine& engine) const {
    if (!engine.order || !engine.order->done_at) {
        return;
    }
    const auto& order = engine.order->order;
    if (engine.version_of(order.trainer) >= order.version) {
        engine.order.reset();
        engine.order_failures = 0;
    } else if (now - *engine.order->done_at > times_.order_shows) {
        // It said that the swap was done and serves another version.
        engine.order.reset();
        back_off(now, engine);
    }
}

void engine_home::ask_epoch(base::millis now) {
    if (!epoch_wanted_ || epoch_asked_ || now < epoch_not_before_) {
        return;
    }
    epoch_wanted_ = false;
    epoch_asked_ = true;
    for (auto& [id, engine] : engines_) {
        engine.epoch_asked = engine.epoch == 0;
    }
    effects_.push_back(take_epoch{});
}

void engine_home::epoch_taken(std::int64_t epoch) {
    epoch_asked_ = false;
    for (auto& [id, engine] : engines_) {
        // An engine that came to this home after the append may have been
        // ordered by another home under a later epoch.
        if (std::exchange(engine.epoch_asked, false)) {
            engine.epoch = epoch;
            engine.sequence = 0;
        }
    }
}

void engine_home::epoch_failed(base::millis retry_at) {
    epoch_asked_ = false;
    epoch_not_before_ = retry_at;
    for (auto& [id, engine] : engines_) {
        engine.epoch_asked = false;
    }
}

std::vector<const wire::trainer_version*>
engine_home::swaps_due(const homed_engine& engine,
                       const std::vector<wire::trainer_version>& wanted) {
    const auto& served = engine.traits.trainers;
    std::vector<const wire::trainer_version*> due;
    for (const auto& w : wanted) {
        const bool ours =
            std::find(served.begin(), served.end(), w.trainer) != served.end();
        if (ours && engine.version_of(w.trainer) < w.version) {
            due.push_back(&w);
        }
    }
    return due;
}

void engine_home::order_version(
    base::millis now, const base::engine_id& id, homed_engine& engine,
    const std::vector<wire::trainer_version>& wanted) {
    if (engine.order || !engine.heard || engine.traits.leaving) {
        return;
    }
    const auto due = swaps_due(engine, wanted);
    if (due.empty()) {
        return;
    }
    if (engine.epoch == 0) {
        epoch_wanted_ = epoch_wanted_ || !engine.epoch_asked;
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
        engine.order_not_before = now + times_.turn;
        return;
    }
    const wire::version_order order{
        (*next)->trainer, (*next)->version, {engine.epoch, ++engine.sequence}};
    engine.order = sent_order{order, now, std::nullopt};
    effects_.push_back(order_engine{id, order, now + engine.traits.order_life});
}

} // namespace hibiscus::cluster
