#pragma once

#include "hibiscus/batch/crash_ledger.hpp"
#include "hibiscus/transport/upstream.hpp"

#include <functional>
#include <utility>

namespace hibiscus::entry {

/// The servers that may have ended while they had a request.
class lost_servers {
public:
    /// Called for each of them, as soon as it is known. May be empty.
    using lost_function = std::function<void(const batch::server_loss&)>;

    explicit lost_servers(lost_function on_lost)
        : on_lost_(std::move(on_lost)) {}

    /// Called when an attempt at a server has ended. `attempt.silent_since` is
    /// set if it has timed out and the server is silent.
    void on_attempt_ended(const batch::server_loss& attempt,
                          transport::call_outcome outcome) {
        // If the losses are reported, idle connections are used only to servers
        // that were active. Otherwise the end of one shows that its server has
        // ended only if the server then takes no new one.
        const bool is_stale =
            outcome == transport::call_outcome::stale_connection;
        const bool was_stale = std::exchange(connection_went_stale_, is_stale);
        const bool is_lost =
            outcome == transport::call_outcome::broken ||
            outcome == transport::call_outcome::idle_timeout ||
            attempt.silent_since.has_value() || (is_stale && on_lost_) ||
            (outcome == transport::call_outcome::not_sent && was_stale);
        if (is_lost) {
            add(attempt);
        }
    }

    /// Called when an attempt was cancelled before its server had responded.
    /// After the loss of another server, this one may have ended as well.
    void on_attempt_cancelled(const batch::server_loss& attempt) {
        if (count_ > 0) {
            add(attempt);
        }
    }

    int count() const { return count_; }

private:
    void add(const batch::server_loss& lost) {
        ++count_;
        if (on_lost_) {
            on_lost_(lost);
        }
    }

    lost_function on_lost_;
    int count_ = 0;
    /// Whether the last attempt used an idle connection that had ended.
    bool connection_went_stale_ = false;
};

} // namespace hibiscus::entry
