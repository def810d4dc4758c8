#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::base {

/// Tells how long a thread was held up itself between two looks at the bounds
/// of what it waits for. What came meanwhile is handled only after such a
/// look, so that others would seem silent for as long.
class stall_detector {
public:
    /// Looks are taken each `usual` ms; one that comes more than `late` ms
    /// after the one before shows that the thread was held up.
    constexpr stall_detector(millis usual, millis late)
        : tick_interval_(usual), stall_threshold_(late) {}

    /// Begins at `now`, as if a look had been taken.
    void start(millis now) {
        last_tick_ = now;
        stalled_ = false;
    }

    /// Takes a look, and returns how much of the time since the last one no
    /// wait may count. Of two late looks in a row the second counts as a usual
    /// one: the thread has handled what came between them, and a thread that
    /// is always late still comes to its bounds.
    millis tick(millis now) {
        const auto gap = now - last_tick_;
        last_tick_ = now;
        if (gap <= stall_threshold_) {
            stalled_ = false;
            return 0;
        }
        stalled_ = !stalled_;
        return stalled_ ? gap : gap - tick_interval_;
    }

    /// Returns true if the thread was held up before the last look and has not
    /// yet handled what came meanwhile.
    bool is_stalled() const { return stalled_; }

private:
    millis tick_interval_;
    millis stall_threshold_;
    millis last_tick_ = 0;
    bool stalled_ = false;
};

} // namespace hibiscus::base
