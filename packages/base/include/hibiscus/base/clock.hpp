#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <variant>

namespace hibiscus::base {

/// A point in time or a duration in milliseconds.
using millis = std::int64_t;

/// A time that only a test moves. Safe to read from several threads.
class manual_time {
public:
    /// Moves the time forward by `by` milliseconds.
    void advance(millis by) { now_ += by; }

    /// Returns the milliseconds that have passed since construction.
    millis now() const { return now_; }

private:
    std::atomic<millis> now_{0};
};

/// Tells the time in milliseconds, either the machine's or a test's.
/// Copies of a clock tell the same time.
class clock {
public:
    /// Constructs a clock that reads the machine's clocks.
    clock() = default;

    /// Constructs a clock that shows `time`, for tests.
    explicit clock(std::shared_ptr<const manual_time> time);

    /// Returns the monotonic time; it has no relation to the time of day.
    millis now() const;

    /// Returns the time of day as milliseconds since 1970. It may jump.
    millis wall_time() const;

private:
    struct system_source {};
    std::variant<system_source, std::shared_ptr<const manual_time>> source_;
};

} // namespace hibiscus::base
