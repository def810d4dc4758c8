#pragma once

#include "hibiscus/base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace hibiscus::duties {

/// Increases with each holder of the duties.
using fencing_token = std::uint64_t;

/// Decides when this process may act as the holder of the singleton duties:
/// calls of which only one node at a time may make any. The holder is chosen
/// elsewhere; this class keeps the calls of successive holders apart.
class duty_turn {
public:
    /// `lease_ms` is the minimum time between a call of one holder and the next
    /// call of the same node after another holder; if receivers don't check
    /// fencing tokens, also between a takeover and the first call.
    duty_turn(std::string node, base::millis lease_ms, bool tokens_checked,
              base::millis started_at);

    /// Called when the holder changes. `is_own` is true if this process is the
    /// holder.
    void on_holder_changed(const std::string& holder, bool is_own,
                           fencing_token token, base::millis now);

    /// Returns the token to call with, or nothing if this process must not
    /// call now.
    std::optional<fencing_token> token_to_call(base::millis now) const;

    /// Called when a call is sent.
    void on_called(base::millis now);

    /// Called when a call was refused since a holder with a newer token has
    /// called. The turn has ended, even if this process does not know the new
    /// holder yet.
    void on_fenced(fencing_token token);

private:
    std::string node_;
    base::millis lease_ms_;
    bool tokens_checked_;
    /// Time of the last call of this node. An earlier process of the node may
    /// have called until this one was started.
    base::millis last_called_at_;
    base::millis not_before_ = 0;
    std::string previous_holder_;
    bool is_own_ = false;
    fencing_token token_ = 0;
    fencing_token fenced_token_ = 0;
};

} // namespace hibiscus::duties
