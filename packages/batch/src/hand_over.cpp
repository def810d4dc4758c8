#include "hibiscus/batch/hand_over.hpp"

namespace hibiscus::batch {

void hand_over::begin() {
    begun_ = true;
    begun_at_ = clock_.now();
}

void hand_over::refused() {
    next_try_ = clock_.now() + times_.retry;
}

bool hand_over::is_due() const {
    return begun_ && (saved_ || lasted() >= times_.save);
}

hand_over_step hand_over::next(bool owns, bool appending) {
    if (!begun_ || ended_) {
        return hand_over_step::wait;
    }
    // A claim that is under way may still make this process the owner.
    const bool vacant = !owns && !appending;
    if (vacant || lasted() >= times_.total) {
        ended_ = true;
        return hand_over_step::end;
    }
    if (!owns || appending || !is_due() || clock_.now() < next_try_) {
        return hand_over_step::wait;
    }
    ++tries_;
    return hand_over_step::give_up;
}

} // namespace hibiscus::batch
