// The part of step_coordinator that handles the last slots of a step, which
// delay its end.

#include "hibiscus/base/result.hpp"
#include "hibiscus/cluster/step_coordinator.hpp"

namespace hibiscus::cluster {

namespace {

constexpr int straggler_priority = 1000;
/// A stream that has produced nothing for this time is assumed to wait in its
/// engine's queue.
constexpr base::millis max_queued_ms = 500;

} // namespace

void step_coordinator::handle_stragglers(base::millis now, step_state& step) {
    if (!step.is_almost_complete() || !straggler_policy_) {
        return;
    }
    const auto policy = straggler_policy_(step.trainer());
    if (std::holds_alternative<straggler_none>(policy)) {
        return;
    }
    if (!step.straggler_priority_raised) {
        step.straggler_priority_raised = true;
        for (const auto index : step.placed_slots()) {
            const auto& slot = step.slots()[index];
            if (slot.priority < straggler_priority) {
                request_stream_again(now, step, index,
                                     slot.priority + straggler_priority);
            }
        }
    }
    if (std::holds_alternative<straggler_move>(policy)) {
        for (const auto index : step.placed_slots()) {
            move_straggler(now, step, index);
        }
    }
}

void step_coordinator::move_straggler(base::millis now, step_state& step,
                                      wire::slot_index index) {
    const auto& slot = step.slots()[index];
    if (slot.producing || now - slot.requested_at < max_queued_ms) {
        return;
    }
    const auto chosen =
        choose_engine_({step.trainer(), &step.prompt_of(index), true});
    if (!chosen || chosen->engine == slot.engine) {
        step.mark_requested(index, slot.priority, now, slot.check_at);
        return;
    }
    // Nothing was produced, so nothing is lost. The old stream is stopped and
    // its id is not used again, so the slot is never delivered twice.
    regenerate_slot(now, step, index);
    step.mark_placed(index, chosen->engine, step.slots()[index].attempt,
                     chosen->priority, now, now + options_.stream_timeout);
    effects_.push_back(place_stream{chosen->engine, step.start_request(index)});
}

} // namespace hibiscus::cluster
