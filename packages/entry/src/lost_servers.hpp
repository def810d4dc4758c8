#pragma once

#include "hibiscus/batch/crash_ledger.hpp"
#include "hibiscus/transport/upstream.hpp"

#include <functional>
#include <optional>
#include <set>
#include <utility>

namespace hibiscus::entry {

/// The servers that may have ended while they had a request.
class lost_servers {
public:
    /// Called for each of them, as soon as it is known. May be empty.
    using lost_function = std::function<void(const batch::server_loss&)>;

    /// `on_abandoned` is called for each server at which the request was given
    /// up and that may end under it later. May be empty.
    explicit lost_servers(lost_function on_lost,
                          lost_function on_abandoned = {})
        : on_lost_(std::move(on_lost)), on_abandoned_(std::move(on_abandoned)) {
    }

    /// Called when an attempt at a server has ended. `attempt.silent_since` is
    /// set if it has timed out and the server is silent.
    void on_attempt_ended(const batch::server_loss& attempt,
                          transport::call_outcome outcome) {
        // If the losses are reported, idle connections are used only to servers
        // that were active. Otherwise the end of one shows that its server has
        // ended only if the server then takes no new one.
        const bool is_stale =
            outcome == transport::call_outcome::stale_connection;
        const bool was_stale_there = stale_at_ == attempt.process;
        stale_at_ = is_stale && !on_lost_ ? std::optional(attempt.process)
                                          : std::nullopt;
        const bool is_lost =
            outcome == transport::call_outcome::broken ||
            outcome == transport::call_outcome::idle_timeout ||
            attempt.silent_since.has_value() || (is_stale && on_lost_) ||
            (outcome == transport::call_outcome::not_sent && was_stale_there);
        if (is_lost) {
            add(attempt);
        } else if (outcome == transport::call_outcome::total_timeout) {
            abandon(attempt);
        }
    }

    /// Called when an attempt was cancelled. `has_responded` is true if the
    /// server has responded to any request since. Otherwise, after the loss of
    /// another server, this one may have ended as well.
    void on_attempt_cancelled(const batch::server_loss& attempt,
                              bool has_responded) {
        if (count_ > 0 && !has_responded) {
            add(attempt);
        } else {
            abandon(attempt);
        }
    }

    int count() const { return count_; }

    /// Returns true if the next attempt should not be made at `server` now: it
    /// was lost there, and losses are reported. A process that ends may still
    /// accept connections, and its end would count twice.
    bool should_avoid(const samplers::sampler_id& server) const {
        return reported_.count(server) != 0;
    }

private:
    void add(const batch::server_loss& lost) {
        ++count_;
        if (on_lost_) {
            reported_.insert(lost.process.server);
            on_lost_(lost);
        }
    }

    void abandon(const batch::server_loss& last_seen) {
        if (on_abandoned_) {
            on_abandoned_(last_seen);
        }
    }

    lost_function on_lost_;
    lost_function on_abandoned_;
    int count_ = 0;
    /// Servers at which the request was lost, if losses are reported.
    std::set<samplers::sampler_id> reported_;
    /// Where the last attempt used an idle connection that had ended, if that
    /// was not counted.
    std::optional<batch::server_process> stale_at_;
};

} // namespace hibiscus::entry
