#pragma once

#include "hibiscus/base/clock.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hibiscus::base {

/// Readings of the clocks of a machine at one moment.
struct clock_reading {
    /// Time of day, in ms since the Unix epoch. It may be stepped.
    millis wall = 0;
    /// Time since the machine started, in ms. It includes suspends.
    millis boot = 0;
};

inline clock_reading read_clocks(const clock& source) {
    return {source.wall_time(), source.boot_time()};
}

/// Estimates the true time of day on a machine whose time of day may be
/// stepped. Steps are observed as changes against the boot clock and ignored. A
/// clock that was wrong from the start is recognized by the estimates of other
/// machines.
class wall_clock_guard {
public:
    /// Returns the estimate. Must be called at least every few seconds, so that
    /// the slow drift between the clocks is followed.
    millis true_time(const clock_reading& reading);

    /// Called with the estimate that another machine has sent. It may be up to
    /// a second old.
    void on_peer_time(const std::string& peer, millis peer_true_time,
                      const clock_reading& reading);

    /// Returns the number of steps that were ignored.
    int ignored_steps() const { return ignored_steps_; }

private:
    std::optional<millis> peer_offset() const;

    /// Estimated true time minus boot time; not set before the first reading.
    std::optional<millis> offset_;
    millis last_wall_offset_ = 0;
    bool following_ = true;
    int ignored_steps_ = 0;
    /// The last offsets seen of each peer. A message can only arrive late,
    /// which makes its offset smaller, so the largest one counts.
    std::map<std::string, std::deque<millis>> peer_offsets_;
};

} // namespace hibiscus::base
