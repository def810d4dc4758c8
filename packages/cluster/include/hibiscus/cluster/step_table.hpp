#pragma once

#include "hibiscus/cluster/stream_id.hpp"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hibiscus::cluster {

/// The phase of one sample slot of a step.
enum class slot_phase {
    waiting,  ///< No stream is assigned to the slot.
    placed,   ///< A stream runs or is being started.
    finished, ///< The sample awaits delivery.
    received  ///< The trainer has the sample.
};

/// One sample slot of a step.
struct slot_state {
    slot_phase phase = slot_phase::waiting;
    std::uint32_t group = 0;
    std::uint32_t attempt = 0;
    base::engine_id engine;
    /// The priority of the slot's stream.
    int priority = 0;
    /// When the stream was last requested.
    base::millis requested_at = 0;
    /// When the stream was last reported; empty if it was not reported since
    /// the last request.
    std::optional<base::millis> reported_at;
    /// True once the stream has produced a chunk.
    bool producing = false;
    std::optional<wire::weight_version> oldest_version;
    std::vector<wire::chunk> chunks;
    /// When the slot is checked next while it is waiting or placed.
    base::millis check_at = 0;
};

/// A step at its trainer's home node. Waiting and placed slots are kept ordered
/// by their check times, so the cost of a tick depends on the number of due
/// slots and not on the size of the step.
class step_state {
public:
    /// Constructs a step whose slots are all waiting and become due at
    /// `check_at`.
    step_state(base::trainer_id trainer, wire::step_number number,
               wire::step_request request, base::millis check_at);

    /// Returns the trainer that opened the step.
    const base::trainer_id& trainer() const { return trainer_; }

    wire::step_number number() const { return number_; }

    const std::vector<slot_state>& slots() const { return slots_; }

    /// Returns the number of slots that the trainer has not received.
    std::uint32_t missing_count() const { return missing_count_; }

    /// Returns true if at most a tenth of the slots are missing. These last
    /// slots delay the end of the step.
    bool is_almost_complete() const;

    /// Returns the slots whose samples await delivery.
    const std::set<wire::slot_index>& finished_slots() const {
        return finished_slots_;
    }

    /// Returns the waiting slot that became due first, or nothing if none is
    /// due at `now`.
    std::optional<wire::slot_index> due_waiting(base::millis now) const;

    /// Returns the placed slot that became due first, or nothing if none is due
    /// at `now`.
    std::optional<wire::slot_index> due_placed(base::millis now) const;

    std::vector<wire::slot_index> placed_slots() const;

    /// Makes a slot wait until `check_at`. If it was not waiting before, its
    /// attempt number is increased, so that late reports of the old stream
    /// cannot fill it.
    void mark_waiting(wire::slot_index index, base::millis check_at);

    /// Records the stream that generates a slot from now on. The slot is
    /// checked at `check_at`.
    void mark_placed(wire::slot_index index, const base::engine_id& engine,
                     std::uint32_t attempt, int priority, base::millis now,
                     base::millis check_at);

    /// Sets the time of the next check of a placed slot.
    void schedule_check(wire::slot_index index, base::millis check_at);

    /// Records that the stream of a placed slot was requested again.
    void mark_requested(wire::slot_index index, int priority, base::millis now,
                        base::millis check_at);

    /// Records a report about the stream of a placed slot.
    void record_progress(wire::slot_index index, base::millis now,
                         bool producing,
                         std::optional<wire::weight_version> oldest);

    /// Records the sample of a slot.
    void mark_finished(wire::slot_index index, std::vector<wire::chunk> chunks);

    /// Records that the trainer has received a slot.
    void mark_received(wire::slot_index index);

    /// Returns the request that starts the stream of a placed slot.
    wire::stream_start start_request(wire::slot_index index) const;

    const std::string& prompt_of(wire::slot_index index) const;

    /// True once the priority of the last slots was raised.
    bool straggler_priority_raised = false;
    /// No slot is placed before this time, because all engines were full.
    base::millis place_not_before = 0;

private:
    using check_queue = std::set<std::pair<base::millis, wire::slot_index>>;

    slot_state& leave_phase(wire::slot_index index);

    base::trainer_id trainer_;
    wire::step_number number_ = 0;
    wire::step_request request_;
    std::vector<slot_state> slots_;
    std::uint32_t missing_count_ = 0;
    check_queue waiting_queue_;
    check_queue placed_queue_;
    std::set<wire::slot_index> finished_slots_;
};

/// The steps of a home node, by trainer and step number.
using step_key = std::pair<base::trainer_id, wire::step_number>;
using step_table = std::map<step_key, step_state>;

} // namespace hibiscus::cluster
