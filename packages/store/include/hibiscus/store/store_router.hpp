#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/stall_detector.hpp"
#include "hibiscus/store/latency_tracker.hpp"
#include "hibiscus/store/log_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hibiscus::store {

/// Where a call to the store is sent.
struct call_route {
    base::endpoint address;
    /// True if `address` is a peer that relays the call to the store.
    bool relayed = false;
    std::uint64_t call_number = 0;
};

/// Timeouts and retry limits of a store_router.
struct router_limits {
    /// How long a peer is not used after it failed to relay a call.
    base::millis peer_backoff_ms = 1000;
    /// How long a peer's report that it can't reach the store remains valid.
    base::millis peer_report_ttl_ms = 1500;
    /// Maximum number of attempts for one call. The store may reject the calls
    /// of a third of the nodes at once; then one relayed call in three fails,
    /// and four in a row fail one time in eighty.
    int max_attempts = 4;
    /// After this many consecutive failures of peers, calls are not retried,
    /// because the store is probably down for all nodes. If a third of the
    /// nodes fail, one sequence in 6,000 is that long by chance.
    int max_consecutive_failures = 8;
    /// How often pending calls are checked.
    base::millis check_interval_ms = 50;
    /// If more time passes between two checks, this node was stalled; the stall
    /// does not count as latency of the store.
    base::millis stall_threshold_ms = 150;
};

/// Decides whether a call goes directly to the store or is relayed by a peer.
/// The store may reject the calls of individual nodes, or be partitioned from
/// them, while it serves the others. Without a relay such a node would lose the
/// jobs that it owns and reject its callers until the store is reachable again.
class store_router {
public:
    using peer_list_function = std::function<std::vector<base::endpoint>()>;
    using unreachable_callback = std::function<void()>;

    /// `on_unreachable` is called when a direct call is overdue, possibly from
    /// within another member function of the router. It should cancel the
    /// pending direct calls, which would otherwise hang until they time out
    /// before they are retried through a peer.
    store_router(base::clock clock, base::endpoint address,
                 peer_list_function list_peers,
                 unreachable_callback on_unreachable = {},
                 router_limits limits = {});

    /// Registers a call to `target_partition`, which may wait up to `wait_ms`
    /// at the store, and returns its route.
    call_route begin_call(base::millis wait_ms,
                          const partition& target_partition);

    /// Returns true if a call that the store did not carry out should be sent
    /// again at once, after `attempts` attempts.
    bool should_retry(int attempts) const;

    /// Called in place of end_call() if an idle connection ended before the
    /// response, which says nothing about the store or the peer.
    void abandon_call(const call_route& route) {
        pending_calls_.erase(route.call_number);
    }

    /// Reports the end of a call. `served` is true if the store itself served
    /// the call, `responded` if any response arrived.
    void end_call(const call_route& route, bool served, bool responded);

    /// Returns true if a peer has recently reported that it can't reach the
    /// store either. The store then counts as down for all nodes: no other node
    /// can have written anything that this node has missed.
    bool is_store_down_for_all() const;

    /// Checks for overdue calls. Returns true while the store is unreachable
    /// and calls are relayed; the caller should then probe the store from time
    /// to time. Must be called every `check_interval_ms`.
    bool check_unreachable();

    /// Returns the partition of the call that showed that the store is
    /// unreachable. Probes must use it: a store that rejects a single partition
    /// still serves the others, and a probe of another one would make the
    /// router switch back and forth.
    const partition& failed_partition() const { return failed_partition_; }

    /// Reports that a probe of the store was served within `latency_ms`.
    void mark_reachable(base::millis latency_ms);

    /// Called when the store has moved to another address.
    void set_store_address(const base::endpoint& address);

private:
    struct pending_call {
        bool relayed = false;
        /// Send time plus the wait at the store.
        base::millis expected_at = 0;
        base::millis overdue_at = 0;
        partition target_partition;
    };

    void check_overdue_calls();
    void reset_failover();
    bool is_backing_off(const base::endpoint& peer) const;
    std::optional<base::endpoint> choose_peer(std::uint64_t turn) const;

    base::clock clock_;
    base::endpoint address_;
    peer_list_function list_peers_;
    unreachable_callback on_unreachable_;
    router_limits limits_;
    latency_tracker direct_latency_;
    std::map<std::uint64_t, pending_call> pending_calls_;
    std::map<base::endpoint, base::millis> peer_backoff_until_;
    /// Peers that have relayed a call since the store became unreachable. They
    /// are preferred: while the store rejects a third of the nodes, trying all
    /// peers in turn would make every third call fail.
    std::set<base::endpoint> working_peers_;
    int consecutive_failures_ = 0;
    std::uint64_t last_call_number_ = 0;
    base::stall_detector stall_detector_;
    bool unreachable_ = false;
    partition failed_partition_;
    /// When a peer last reported that it can't reach the store; 0 for never.
    base::millis peer_report_at_ = 0;
};

} // namespace hibiscus::store
