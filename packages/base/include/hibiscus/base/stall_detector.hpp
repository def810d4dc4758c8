#pragma once

#include "hibiscus/base/clock.hpp"

namespace hibiscus::base {

/// Measures how long the calling thread did not run between two of its periodic
/// timeout checks. Input that arrives during such a stall is handled only after
/// the check. Without a correction, the check would report timeouts of peers
/// that did send.
class stall_detector {
public:
    /// The thread calls tick() every `tick_interval` ms. A gap of more than
    /// `stall_threshold` ms between two calls is a stall.
    constexpr stall_detector(millis tick_interval, millis stall_threshold)
        : tick_interval_(tick_interval), stall_threshold_(stall_threshold) {}

    /// Starts measuring at `now`.
    void start(millis now) {
        last_tick_ = now;
        stalled_ = false;
    }

    /// Returns how many milliseconds since the last tick must not count toward
    /// timeouts: 0 if the tick is on time, the whole gap if it is late. The
    /// second of two late ticks in a row counts one tick interval of the gap:
    /// the thread has handled its input between them, and timeouts must still
    /// expire in a thread that is always late.
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

    /// Returns true if the thread stalled before the last tick and has not yet
    /// handled the input that arrived during the stall.
    bool is_stalled() const { return stalled_; }

private:
    millis tick_interval_;
    millis stall_threshold_;
    millis last_tick_ = 0;
    bool stalled_ = false;
};

} // namespace hibiscus::base
