#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::base {

/// Tells how long a thread was held up itself between two looks at the bounds
/// of what it waits for. What came meanwhile is handled only after such a
/// look, so that others would seem silent for as long.
class own_delay {
public:
    /// Looks are taken each `usual` ms; one that comes more than `late` ms
    /// after the one before shows that the thread was held up.
    constexpr own_delay(millis usual, millis late)
        : usual_(usual), late_(late) {}

    /// Begins at `now`, as if a look had been taken.
    void begin(millis now) {
        looked_at_ = now;
        held_up_ = false;
    }

    /// Takes a look, and returns how much of the time since the last one no
    /// wait may count. Of two late looks in a row the second counts as a usual
    /// one: the thread has handled what came between them, and a thread that
    /// is always late still comes to its bounds.
    millis look(millis now) {
        const auto gap = now - looked_at_;
        looked_at_ = now;
        if (gap <= late_) {
            held_up_ = false;
            return 0;
        }
        held_up_ = !held_up_;
        return held_up_ ? gap : gap - usual_;
    }

    /// Returns true if the thread was held up before the last look and has not
    /// yet handled what came meanwhile.
    bool held_up() const { return held_up_; }

private:
    millis usual_;
    millis late_;
    millis looked_at_ = 0;
    bool held_up_ = false;
};

} // namespace hibiscus::base
