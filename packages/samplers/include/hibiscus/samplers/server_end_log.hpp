#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hibiscus::samplers {

/// Identifies one backend server of any service.
using sampler_id = base::id<struct sampler_tag>;
using service_name = base::id<struct service_name_tag>;

/// The end of a server process that its next registration has shown.
struct server_end {
    sampler_id server;
    /// When the process had started, in ms since the Unix epoch.
    std::int64_t started_ms = 0;
    service_name service;
    /// About when it ended: when the next process registered, or, if its
    /// registration had lapsed before, when that was last renewed.
    base::millis ended_at = 0;
};

/// Remembers for a while which server processes have ended without draining.
class server_end_log {
public:
    explicit server_end_log(base::clock clock) : clock_(std::move(clock)) {}

    /// Called when a server registers another process than before.
    void on_replaced(const server_end& former);

    /// Called when the registration of a server that is not draining is gone.
    void on_removed(const server_end& former);

    /// Called when a server that had no registration registers a process.
    void on_added(const sampler_id& server, std::int64_t started_ms);

    const std::vector<server_end>& ends() const { return ends_; }

    /// Returns how often an end was added.
    std::uint64_t change_count() const { return change_count_; }

private:
    void add(server_end end);
    void forget_expired();

    base::clock clock_;
    std::vector<server_end> ends_;
    /// The last processes of servers without a registration.
    std::map<sampler_id, server_end> removed_;
    std::uint64_t change_count_ = 0;
};

} // namespace hibiscus::samplers
