#pragma once

#include "hibiscus/batch/records.hpp"
#include "hibiscus/transport/upstream.hpp"

#include <utility>
#include <vector>

namespace hibiscus::entry {

/// The servers that may have ended while they had a request.
class lost_servers {
public:
    /// Called when an attempt at a server has ended.
    void on_attempt_ended(const batch::server_process& process,
                          transport::call_outcome outcome) {
        // The end of an idle connection shows that its server has ended only if
        // the server then takes no new one.
        const bool was_stale =
            std::exchange(connection_went_stale_,
                          outcome == transport::call_outcome::stale_connection);
        const bool is_lost =
            outcome == transport::call_outcome::broken ||
            outcome == transport::call_outcome::idle_timeout ||
            (outcome == transport::call_outcome::not_sent && was_stale);
        if (is_lost) {
            processes_.push_back(process);
        }
    }

    int count() const { return static_cast<int>(processes_.size()); }

    const std::vector<batch::server_process>& processes() const {
        return processes_;
    }

private:
    std::vector<batch::server_process> processes_;
    /// Whether the last attempt used an idle connection that had ended.
    bool connection_went_stale_ = false;
};

} // namespace hibiscus::entry
