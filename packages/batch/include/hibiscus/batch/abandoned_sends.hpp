#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/batch/records.hpp"
#include "hibiscus/batch/server_loss.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace hibiscus::batch {

/// A request whose sender closed its connection while a server had it.
struct abandoned_send {
    /// The server process, and how far the run had come.
    server_loss last_seen;
    base::millis sent_at = 0;
    base::millis abandoned_at = 0;
    /// The server has outlived the send if something comes from its process at
    /// this time or later.
    base::millis answerable_until = 0;
    /// Whether the server had fallen silent before the request was sent and
    /// nothing has come from it since the send was abandoned, so that its end
    /// is no loss.
    bool is_unseen = false;
};

/// Remembers sends that were abandoned: the server may still end under them, or
/// may have ended and not be known to have. A send is remembered until its
/// process has outlived it or is known to have ended.
class abandoned_sends {
public:
    explicit abandoned_sends(base::clock clock) : clock_(std::move(clock)) {}

    bool empty() const { return sends_.empty(); }

    /// Adds a send that is abandoned now. The server may end under it for
    /// `answerable_ms` more.
    void add(const request_key& request, const server_loss& last_seen,
             base::millis sent_at, base::millis answerable_ms);

    /// Returns how many server processes may have ended under a request and
    /// have to be waited for. An unreachable server is not waited for any
    /// longer after a while.
    int count_unsettled(const request_key& request) const;

    /// Returns the sends of a request that count_unsettled() counts.
    std::vector<abandoned_send> unsettled(const request_key& request) const;

    /// Returns the requests with sends, and the processes that have them.
    std::set<request_key> requests() const;
    std::set<server_process> processes() const;

    /// Called when something came from a process at `time`. Returns the
    /// requests of the sends that it has outlived.
    std::set<request_key> on_sign_of_life(const server_process& process,
                                          base::millis time);

    /// Removes the sends to a process, and returns them.
    std::vector<std::pair<request_key, abandoned_send>>
    take(const server_process& process);

    /// Removes the sends of a request, or those to one process.
    void erase(const request_key& request) { sends_.erase(request); }
    void erase(const request_key& request, const server_process& process);

    void forget_expired();

    void clear() { sends_.clear(); }

private:
    template <class Predicate>
    void erase_if(Predicate predicate);
    bool is_unsettled(const abandoned_send& send) const;

    base::clock clock_;
    /// One send for each process.
    std::map<request_key, std::vector<abandoned_send>> sends_;
};

} // namespace hibiscus::batch
