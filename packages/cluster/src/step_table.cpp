#include "hibiscus/cluster/step_table.hpp"

#include "hibiscus/base/hash.hpp"

#include <utility>

namespace hibiscus::cluster {

namespace {

constexpr std::uint32_t straggler_share = 10;

} // namespace

step_row::step_row(base::trainer_id trainer, wire::step_number number,
                   wire::step_request request, base::millis due)
    : trainer_(std::move(trainer)), number_(number),
      request_(std::move(request)) {
    for (std::uint32_t g = 0; g < request_.groups.size(); ++g) {
        slot_row slot;
        slot.group = g;
        slot.due = due;
        slots_.insert(slots_.end(), request_.groups[g].samples, slot);
    }
    missing_ = static_cast<std::uint32_t>(slots_.size());
    for (wire::slot_index i = 0; i < slots_.size(); ++i) {
        waiting_.emplace_hint(waiting_.end(), due, i);
    }
}

bool step_row::is_ending() const {
    return missing_ * straggler_share <= slots_.size();
}

std::optional<wire::slot_index> step_row::due_waiting(base::millis now) const {
    if (waiting_.empty() || waiting_.begin()->first > now) {
        return std::nullopt;
    }
    return waiting_.begin()->second;
}

std::optional<wire::slot_index> step_row::due_placed(base::millis now) const {
    if (placed_.empty() || placed_.begin()->first > now) {
        return std::nullopt;
    }
    return placed_.begin()->second;
}

std::vector<wire::slot_index> step_row::placed() const {
    std::vector<wire::slot_index> result;
    result.reserve(placed_.size());
    for (const auto& [due, index] : placed_) {
        result.push_back(index);
    }
    return result;
}

slot_row& step_row::leave_phase(wire::slot_index index) {
    auto& slot = slots_[index];
    switch (slot.phase) {
    case slot_phase::waiting:
        waiting_.erase({slot.due, index});
        break;
    case slot_phase::placed:
        placed_.erase({slot.due, index});
        break;
    case slot_phase::finished:
        finished_.erase(index);
        break;
    case slot_phase::received:
        ++missing_;
        break;
    }
    return slot;
}

void step_row::wait(wire::slot_index index, base::millis due) {
    auto& slot = leave_phase(index);
    if (slot.phase != slot_phase::waiting) {
        ++slot.attempt;
    }
    slot.phase = slot_phase::waiting;
    slot.oldest.reset();
    slot.chunks.clear();
    slot.due = due;
    waiting_.emplace(due, index);
}

void step_row::place(wire::slot_index index, const base::engine_id& engine,
                     std::uint32_t attempt, int priority, base::millis now,
                     base::millis due) {
    auto& slot = leave_phase(index);
    slot.phase = slot_phase::placed;
    slot.engine = engine;
    slot.attempt = attempt;
    slot.priority = priority;
    slot.asked_at = now;
    slot.heard_at.reset();
    slot.producing = false;
    slot.due = due;
    placed_.emplace(due, index);
}

void step_row::check_at(wire::slot_index index, base::millis due) {
    auto& slot = leave_phase(index);
    slot.due = due;
    placed_.emplace(due, index);
}

void step_row::ask_again(wire::slot_index index, int priority, base::millis now,
                         base::millis due) {
    check_at(index, due);
    auto& slot = slots_[index];
    slot.priority = priority;
    slot.asked_at = now;
    slot.heard_at.reset();
}

void step_row::hear(wire::slot_index index, base::millis now, bool producing,
                    std::optional<wire::weight_version> oldest) {
    auto& slot = slots_[index];
    slot.heard_at = now;
    slot.producing = producing;
    slot.oldest = oldest;
}

void step_row::finish(wire::slot_index index, std::vector<wire::chunk> chunks) {
    auto& slot = leave_phase(index);
    slot.phase = slot_phase::finished;
    slot.chunks = std::move(chunks);
    finished_.insert(index);
}

void step_row::receive(wire::slot_index index) {
    auto& slot = leave_phase(index);
    slot.phase = slot_phase::received;
    slot.chunks.clear();
    --missing_;
}

wire::stream_start step_row::start_of(wire::slot_index index) const {
    const auto& slot = slots_[index];
    const auto& group = request_.groups[slot.group];
    const auto stream = stream_of(trainer_, number_, index, slot.attempt);
    return {stream,           trainer_,      group.prompt,
            group.max_tokens, slot.priority, base::stable_hash(stream.str())};
}

const std::string& step_row::prompt_of(wire::slot_index index) const {
    return request_.groups[slots_[index].group].prompt;
}

} // namespace hibiscus::cluster
