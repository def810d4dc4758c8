#pragma once

#include "hibiscus/cluster/stream_id.hpp"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hibiscus::cluster {

/// What is known of one slot of a step.
enum class slot_phase {
    waiting,  ///< No stream runs for it.
    placed,   ///< A stream runs, or is being started, at an engine.
    finished, ///< The sample is here and not known to be received.
    received  ///< The trainer has it.
};

/// One slot of a step.
struct slot_state {
    slot_phase phase = slot_phase::waiting;
    std::uint32_t group = 0;
    std::uint32_t attempt = 0;
    base::engine_id engine;
    /// The priority of its stream.
    int priority = 0;
    /// When its stream was last asked for.
    base::millis requested_at = 0;
    /// When its stream was last heard of; nothing since it was asked for.
    std::optional<base::millis> reported_at;
    /// True once its stream has produced something.
    bool producing = false;
    std::optional<wire::weight_version> oldest_version;
    std::vector<wire::chunk> chunks;
    /// When it is looked at next while it is waiting or placed.
    base::millis check_at = 0;
};

/// A step at its trainer's home. Waiting and placed slots are kept in the
/// order in which they are due, so that a tick costs what is due and not what
/// is there.
class step_state {
public:
    /// Constructs a step whose slots all wait; none is due before `due`.
    step_state(base::trainer_id trainer, wire::step_number number,
               wire::step_request request, base::millis due);

    /// Returns the trainer that opened the step.
    const base::trainer_id& trainer() const { return trainer_; }

    /// Returns the number of the step.
    wire::step_number number() const { return number_; }

    /// Returns the slots.
    const std::vector<slot_state>& slots() const { return slots_; }

    /// Returns the number of slots that are not received.
    std::uint32_t missing_count() const { return missing_count_; }

    /// Returns true if so few slots are missing that they hold up the step.
    bool is_almost_complete() const;

    /// Returns the slots whose samples are here.
    const std::set<wire::slot_index>& finished_slots() const {
        return finished_slots_;
    }

    /// Returns the first waiting slot that is due at `now`, if there is one.
    std::optional<wire::slot_index> due_waiting(base::millis now) const;

    /// Returns the first placed slot that is due at `now`, if there is one.
    std::optional<wire::slot_index> due_placed(base::millis now) const;

    /// Returns all placed slots.
    std::vector<wire::slot_index> placed_slots() const;

    /// Makes a slot wait until `due`. If it had a stream or a sample, its
    /// attempt grows, so that nothing that is reported late can fill it.
    void mark_waiting(wire::slot_index index, base::millis due);

    /// Notes the stream that now generates a slot, to be looked at when
    /// `due`.
    void mark_placed(wire::slot_index index, const base::engine_id& engine,
                     std::uint32_t attempt, int priority, base::millis now,
                     base::millis due);

    /// Looks at a placed slot again when `due`.
    void schedule_check(wire::slot_index index, base::millis due);

    /// Notes that the stream of a placed slot was asked for once more.
    void mark_requested(wire::slot_index index, int priority, base::millis now,
                        base::millis due);

    /// Notes what was heard of the stream of a placed slot.
    void record_progress(wire::slot_index index, base::millis now,
                         bool producing,
                         std::optional<wire::weight_version> oldest);

    /// Notes the sample of a slot.
    void mark_finished(wire::slot_index index, std::vector<wire::chunk> chunks);

    /// Notes that the trainer has a slot.
    void mark_received(wire::slot_index index);

    /// Returns the order that starts the stream of a placed slot.
    wire::stream_start start_request(wire::slot_index index) const;

    /// Returns the prompt of a slot.
    const std::string& prompt_of(wire::slot_index index) const;

    /// True once the last slots' priority was raised.
    bool stragglers_raised = false;
    /// Nothing is placed before this time: all engines were full.
    base::millis place_not_before = 0;

private:
    using due_queue = std::set<std::pair<base::millis, wire::slot_index>>;

    slot_state& leave_phase(wire::slot_index index);

    base::trainer_id trainer_;
    wire::step_number number_ = 0;
    wire::step_request request_;
    std::vector<slot_state> slots_;
    std::uint32_t missing_count_ = 0;
    due_queue waiting_queue_;
    due_queue placed_queue_;
    std::set<wire::slot_index> finished_slots_;
};

/// The steps of a home by trainer and number.
using step_key = std::pair<base::trainer_id, wire::step_number>;
using step_table = std::map<step_key, step_state>;

} // namespace hibiscus::cluster
