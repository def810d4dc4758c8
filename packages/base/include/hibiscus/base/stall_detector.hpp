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

    /// Returns the part of the time since the last tick, in milliseconds, that
    /// must not count toward timeouts: 0 if the tick is on time, the whole gap
    /// if it is late. For the second of two late ticks in a row, returns the
    /// gap minus one tick interval: the thread has handled its input between
    /// the two ticks, and timeouts must still expire in a thread that is always
    /// late.
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

    /// Returns true if the timeout check of the last tick must be skipped, so
    /// that input that arrived during the stall is handled first. Returns false
    /// after the second of two late ticks in a row, so that timeouts still
    /// expire.
    bool is_stalled() const { return stalled_; }

private:
    millis tick_interval_;
    millis stall_threshold_;
    millis last_tick_ = 0;
    bool stalled_ = false;
};

} // namespace hibiscus::base
