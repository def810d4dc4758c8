#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <variant>

namespace hibiscus::base {

/// A point in time or a duration in milliseconds.
using millis = std::int64_t;

/// A time source that a test advances by hand. Thread-safe.
class manual_time {
public:
    /// Advances the time by `duration` milliseconds.
    void advance(millis duration) { now_ += duration; }

    /// Returns the milliseconds by which the time was advanced since
    /// construction.
    millis now() const { return now_; }

private:
    std::atomic<millis> now_{0};
};

/// Returns the time in milliseconds, either from the system clocks or from a
/// test's manual_time. Copies of a clock share the same time source.
class clock {
public:
    /// Constructs a clock that reads the system clocks.
    clock() = default;

    /// Constructs a clock that reads `time`, for tests.
    explicit clock(std::shared_ptr<const manual_time> time);

    /// Returns the monotonic time. It has no relation to the time of day.
    millis now() const;

    /// Returns the time of day in milliseconds since the Unix epoch. It may
    /// jump forward or backward.
    millis wall_time() const;

    /// Returns the time since the machine started, in ms. Unlike now(), it
    /// includes the time for which the machine was suspended.
    millis boot_time() const;

private:
    struct system_source {};
    std::variant<system_source, std::shared_ptr<const manual_time>> source_;
};

} // namespace hibiscus::base
