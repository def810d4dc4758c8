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
    log_field(const char* name, bool yes) : name(name), value(yes) {}
    template <class Tag>
    log_field(const char* name, const base::id<Tag>& id)
        : name(name), value(id.str()) {}

    const char* name;
    std::variant<std::string, std::int64_t, bool> value;
};

/// Bounds on what a log writes and holds.
struct event_log_limits {
    /// Lines a second; more are counted and dropped. An estimate: two lines
    /// for each run of a step of 200 items that all begin in one second.
    int max_lines_per_s = 400;
    /// Bytes that wait for the reader of the stream.
    std::size_t max_buffered_bytes = 512 * 1024;
};

/// Writes JSON lines to a file descriptor without ever blocking: lines are
/// held and written by flush(). What a reader is too slow for is dropped, and
/// a line tells how many were. For use by one thread.
class event_log {
public:
    event_log(const base::node_id& node, int descriptor,
              event_log_limits limits, base::clock clock);
    ~event_log();

    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Adds a line about `event`.
    void write(const char* event, std::initializer_list<log_field> values);

    /// Writes what is held, as far as the descriptor takes it.
    void flush();

    /// Returns how many lines were dropped.
    std::uint64_t dropped_lines() const { return dropped_lines_; }

private:
    bool acquire_rate_limit();

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
