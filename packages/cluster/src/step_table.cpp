#include "hibiscus/cluster/step_table.hpp"

#include "hibiscus/base/hash.hpp"

#include <utility>

namespace hibiscus::cluster {

namespace {

/// A step is almost complete when at most 1/10 of its slots are missing.
constexpr std::uint32_t straggler_share_divisor = 10;

} // namespace

step_state::step_state(base::trainer_id trainer, wire::step_number number,
                       wire::step_request request, base::millis check_at)
    : trainer_(std::move(trainer)), number_(number),
      request_(std::move(request)) {
    for (std::uint32_t g = 0; g < request_.groups.size(); ++g) {
        slot_state slot;
        slot.group = g;
        slot.check_at = check_at;
        slots_.insert(slots_.end(), request_.groups[g].samples, slot);
    }
    missing_count_ = static_cast<std::uint32_t>(slots_.size());
    for (wire::slot_index i = 0; i < slots_.size(); ++i) {
        waiting_queue_.emplace_hint(waiting_queue_.end(), check_at, i);
    }
}

bool step_state::is_almost_complete() const {
    return missing_count_ * straggler_share_divisor <= slots_.size();
}

std::optional<wire::slot_index>
step_state::due_waiting(base::millis now) const {
    if (waiting_queue_.empty() || waiting_queue_.begin()->first > now) {
        return std::nullopt;
    }
    return waiting_queue_.begin()->second;
}

std::optional<wire::slot_index> step_state::due_placed(base::millis now) const {
    if (placed_queue_.empty() || placed_queue_.begin()->first > now) {
        return std::nullopt;
    }
    return placed_queue_.begin()->second;
}

std::vector<wire::slot_index> step_state::placed_slots() const {
    std::vector<wire::slot_index> indices;
    indices.reserve(placed_queue_.size());
    for (const auto& [check_at, index] : placed_queue_) {
        indices.push_back(index);
    }
    return indices;
}

slot_state& step_state::leave_phase(wire::slot_index index) {
    auto& slot = slots_[index];
    switch (slot.phase) {
    case slot_phase::waiting:
        waiting_queue_.erase({slot.check_at, index});
        break;
    case slot_phase::placed:
        placed_queue_.erase({slot.check_at, index});
        break;
    case slot_phase::finished:
        finished_slots_.erase(index);
        break;
    case slot_phase::received:
        ++missing_count_;
        break;
    }
    return slot;
}

void step_state::mark_waiting(wire::slot_index index, base::millis check_at) {
    auto& slot = leave_phase(index);
    if (slot.phase != slot_phase::waiting) {
        ++slot.attempt;
    }
    slot.phase = slot_phase::waiting;
    slot.oldest_version.reset();
    slot.chunks.clear();
    slot.check_at = check_at;
    waiting_queue_.emplace(check_at, index);
}

void step_state::mark_placed(wire::slot_index index,
                             const base::engine_id& engine,
                             std::uint32_t attempt, int priority,
                             base::millis now, base::millis check_at) {
    auto& slot = leave_phase(index);
    slot.phase = slot_phase::placed;
    slot.engine = engine;
    slot.attempt = attempt;
    slot.priority = priority;
    slot.requested_at = now;
    slot.reported_at.reset();
    slot.producing = false;
    slot.check_at = check_at;
    placed_queue_.emplace(check_at, index);
}

void step_state::schedule_check(wire::slot_index index, base::millis check_at) {
    auto& slot = leave_phase(index);
    slot.check_at = check_at;
    placed_queue_.emplace(check_at, index);
}

void step_state::mark_requested(wire::slot_index index, int priority,
                                base::millis now, base::millis check_at) {
    schedule_check(index, check_at);
    auto& slot = slots_[index];
    slot.priority = priority;
    slot.requested_at = now;
    slot.reported_at.reset();
}

void step_state::record_progress(wire::slot_index index, base::millis now,
                                 bool producing,
                                 std::optional<wire::weight_version> oldest) {
    auto& slot = slots_[index];
    slot.reported_at = now;
    slot.producing = producing;
    slot.oldest_version = oldest;
}

void step_state::mark_finished(wire::slot_index index,
                               std::vector<wire::chunk> chunks) {
    auto& slot = leave_phase(index);
    slot.phase = slot_phase::finished;
    slot.chunks = std::move(chunks);
    finished_slots_.insert(index);
}

void step_state::mark_received(wire::slot_index index) {
    auto& slot = leave_phase(index);
    slot.phase = slot_phase::received;
    slot.chunks.clear();
    --missing_count_;
}

wire::stream_start step_state::start_request(wire::slot_index index) const {
    const auto& slot = slots_[index];
    const auto& group = request_.groups[slot.group];
    const auto stream = make_stream_id(trainer_, number_, index, slot.attempt);
    return {stream,           trainer_,      group.prompt,
            group.max_tokens, slot.priority, base::stable_hash(stream.str())};
}

const std::string& step_state::prompt_of(wire::slot_index index) const {
    return request_.groups[slots_[index].group].prompt;
}

} // namespace hibiscus::cluster
