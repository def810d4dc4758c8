#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/ids.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace hibiscus::telemetry {

/// A named value of a log line.
struct log_field {
    log_field(const char* name, std::string_view text)
        : name(name), value(std::string(text)) {}
    log_field(const char* name, const std::string& text)
        : name(name), value(text) {}
    log_field(const char* name, const char* text)
        : name(name), value(std::string(text)) {}
    log_field(const char* name, std::int64_t number)
        : name(name), value(number) {}
    log_field(const char* name, std::uint64_t number)
        : name(name), value(static_cast<std::int64_t>(number)) {}
    log_field(const char* name, int number)
        : name(name), value(static_cast<std::int64_t>(number)) {}
    log_field(const char* name, bool flag) : name(name), value(flag) {}
    template <class Tag>
    log_field(const char* name, const base::id<Tag>& id)
        : name(name), value(id.str()) {}

    const char* name;
    std::variant<std::string, std::int64_t, bool> value;
};

/// Limits on the rate and the buffer of an event log.
struct event_log_limits {
    /// Maximum number of lines per second. Further lines are dropped and
    /// counted. Enough for two lines per run when all 200 items of a step start
    /// within one second.
    int max_lines_per_s = 400;
    /// Maximum number of bytes that are buffered until they can be written.
    std::size_t max_buffered_bytes = 512 * 1024;
};

/// Writes JSON lines to a file descriptor without blocking. Lines are buffered
/// until flush() or until the buffer is large enough. Lines are dropped while
/// the rate limit is exceeded, or while the buffer is full because the reader
/// is slow. The next line that is written contains the number of dropped lines.
/// Not thread-safe.
class event_log {
public:
    event_log(const base::node_id& node, int descriptor,
              event_log_limits limits, base::clock clock);
    ~event_log();

    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Adds a line for `event`, or drops it if a limit is exceeded.
    void write(const char* event, std::initializer_list<log_field> fields);

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    /// Returns the total number of dropped lines.
    std::uint64_t dropped_lines() const { return dropped_lines_; }

private:
    /// Counts one line. Returns false if the rate limit is exceeded.
    bool count_line_against_limit();

    std::string node_;
    int descriptor_;
    event_log_limits limits_;
    base::clock clock_;
    std::string buffer_;
    base::millis rate_window_start_ = 0;
    int lines_in_window_ = 0;
    std::uint64_t dropped_lines_ = 0;
    std::uint64_t reported_dropped_lines_ = 0;
};

} // namespace hibiscus::telemetry
