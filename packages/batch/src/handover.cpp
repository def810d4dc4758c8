#include "hibiscus/batch/handover.hpp"

namespace hibiscus::batch {

void handover::begin() {
    has_begun_ = true;
    begun_at_ = clock_.now();
}

void handover::on_record_rejected() {
    next_attempt_at_ = clock_.now() + times_.retry_interval;
}

bool handover::may_release() const {
    return has_begun_ && (texts_saved_ || elapsed() >= times_.save_timeout);
}

handover_action handover::next_action(bool is_owner, bool append_in_flight) {
    if (!has_begun_ || has_ended_) {
        return handover_action::wait;
    }
    // A claim in flight may still make this process the owner.
    const bool is_released = !is_owner && !append_in_flight;
    if (is_released || elapsed() >= times_.total_timeout) {
        has_ended_ = true;
        return handover_action::end;
    }
    if (!is_owner || append_in_flight || !may_release() ||
        clock_.now() < next_attempt_at_) {
        return handover_action::wait;
    }
    ++attempts_;
    return handover_action::release;
}

} // namespace hibiscus::batch
