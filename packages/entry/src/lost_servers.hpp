#pragma once

#include "hibiscus/batch/crash_ledger.hpp"
#include "hibiscus/transport/upstream.hpp"

#include <utility>
#include <vector>

namespace hibiscus::entry {

/// The servers that may have ended while they had a request.
class lost_servers {
public:
    /// Called when an attempt at a server has ended. `attempt.silent_since` is
    /// set if it has timed out and the server is silent.
    void on_attempt_ended(const batch::server_loss& attempt,
                          transport::call_outcome outcome) {
        // The end of an idle connection shows that its server has ended only if
        // the server then takes no new one.
        const bool was_stale =
            std::exchange(connection_went_stale_,
                          outcome == transport::call_outcome::stale_connection);
        const bool is_lost =
            outcome == transport::call_outcome::broken ||
            outcome == transport::call_outcome::idle_timeout ||
            attempt.silent_since.has_value() ||
            (outcome == transport::call_outcome::not_sent && was_stale);
        if (is_lost) {
            losses_.push_back(attempt);
        }
    }

    int count() const { return static_cast<int>(losses_.size()); }

    const std::vector<batch::server_loss>& losses() const { return losses_; }

private:
    std::vector<batch::server_loss> losses_;
    /// Whether the last attempt used an idle connection that had ended.
    bool connection_went_stale_ = false;
};

} // namespace hibiscus::entry
