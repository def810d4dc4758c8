#pragma once

#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/duties/usage.hpp"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace hibiscus::duties {

/// Times of the usage reports, in ms.
struct reporter_times {
    /// Length of a window.
    base::millis window_ms = 5000;
    /// Time from the end of a window until its report is due.
    base::millis due_ms = 10000;
    /// Delay before a failed call is repeated; doubles up to the maximum.
    base::millis min_retry_ms = 200;
    base::millis max_retry_ms = 1500;
    /// Age of a window at which its report is given up, and at which its
    /// records are erased once it is delivered.
    base::millis max_age_ms = 120000;
};

/// How a call of a duty ended.
enum class duty_result {
    accepted,
    /// A holder with a newer fencing token has called.
    fenced,
    /// A holder with a newer fencing token has called, or there are no more
    /// servers.
    refused,
    /// Not executed, or not known to be; may be repeated.
    failed,
    /// The receiver will never accept the call.
    invalid,
};

/// Decides when the usage of a window is fixed and when its report is sent. A
/// report is fixed by a record in the journal; only then it is sent, so that
/// each later holder sends the same counts. Reports are sent one at a time: the
/// oldest of those that are not overdue, and only then the overdue ones. After
/// an outage of the receiver, overdue reports would otherwise make the next
/// ones late as well.
class usage_reporter {
public:
    explicit usage_reporter(reporter_times times)
        : times_(times), calendar_(times.window_ms) {}

    /// Called for each report in the journal.
    void on_fixed(const usage_report& report);

    /// Called when a report was erased from the journal.
    void on_erased(window_number window) { reports_.erase(window); }

    /// Returns true if the report of the window is fixed, or was.
    bool is_fixed(window_number window) const {
        return last_fixed_ && window <= *last_fixed_;
    }

    /// Returns the oldest window whose report must be fixed now, or nothing.
    std::optional<window_number> window_to_fix(base::millis true_time);

    /// Returns the report to send now, or nothing. `now` is monotonic.
    /// `jitter` is a random number from 0 to 1.
    std::optional<usage_report> report_to_send(base::millis true_time,
                                               base::millis now);

    /// Called when a call has ended. Only one call may be in flight.
    void on_sent(window_number window, duty_result result, base::millis now,
                 double jitter);

    /// Forgets the delays of an earlier turn. A call of that turn may still be
    /// in flight.
    void begin_turn();

    /// Returns the reports that were delivered, but whose records say
    /// otherwise.
    std::vector<usage_report> unrecorded_deliveries() const;

    /// Returns the windows whose records can be erased.
    std::vector<window_number> expired_windows(base::millis true_time) const;

    /// Returns the time until the report of a window is due, in ms; negative
    /// once it is late.
    base::millis time_left(window_number window, base::millis true_time) const {
        return calendar_.end_of(window) + times_.due_ms - true_time;
    }

private:
    struct report_row {
        usage_report report;
        /// Whether the receiver has confirmed the report to this process.
        bool confirmed = false;
        bool given_up = false;
    };

    reporter_times times_;
    window_calendar calendar_;
    std::map<window_number, report_row> reports_;
    std::optional<window_number> last_fixed_;
    std::optional<window_number> first_window_;
    bool call_in_flight_ = false;
    int failures_ = 0;
    base::millis retry_at_ = 0;
};

} // namespace hibiscus::duties

namespace hibiscus::base {

template <>
struct enum_names<duties::duty_result> {
    static constexpr std::array<enum_name<duties::duty_result>, 5> table{{
        {duties::duty_result::accepted, "accepted"},
        {duties::duty_result::fenced, "fenced"},
        {duties::duty_result::refused, "refused"},
        {duties::duty_result::failed, "failed"},
        {duties::duty_result::invalid, "invalid"},
    }};
};

} // namespace hibiscus::base
