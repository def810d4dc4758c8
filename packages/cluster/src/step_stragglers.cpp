// What a step_home does about the last slots of a step, which hold it up.

#include "hibiscus/base/result.hpp"
#include "hibiscus/cluster/step_home.hpp"

namespace hibiscus::cluster {

namespace {

constexpr int straggler_priority = 1000;
/// A stream that has not begun after so many ms waits in its engine's queue.
constexpr base::millis queued_too_long = 500;

} // namespace

void step_home::mind_stragglers(base::millis now, step_row& step) {
    if (!step.is_ending() || !stragglers_) {
        return;
    }
    const auto policy = stragglers_(step.trainer());
    if (std::holds_alternative<straggler_none>(policy)) {
        return;
    }
    if (!step.stragglers_raised) {
        step.stragglers_raised = true;
        for (const auto index : step.placed()) {
            const auto& slot = step.slots()[index];
            if (slot.priority < straggler_priority) {
                ask_again(now, step, index, slot.priority + straggler_priority);
            }
        }
    }
    if (std::holds_alternative<straggler_move>(policy)) {
        for (const auto index : step.placed()) {
            move_straggler(now, step, index);
        }
    }
}

void step_home::move_straggler(base::millis now, step_row& step,
                               wire::slot_index index) {
    const auto& slot = step.slots()[index];
    if (slot.producing || now - slot.asked_at < queued_too_long) {
        return;
    }
    const auto chosen = place_({step.trainer(), &step.prompt_of(index), true});
    if (!chosen || chosen->engine == slot.engine) {
        step.ask_again(index, slot.priority, now, slot.due);
        return;
    }
    // Nothing of it was produced, so nothing is lost. The old stream is
    // stopped and its id given up: the slot is never delivered twice.
    regenerate(now, step, index);
    step.place(index, chosen->engine, step.slots()[index].attempt,
               chosen->priority, now, now + times_.silence);
    effects_.push_back(place_stream{chosen->engine, step.start_of(index)});
}

} // namespace hibiscus::cluster
