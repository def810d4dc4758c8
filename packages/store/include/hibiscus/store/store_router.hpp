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

/// Where a call to the store goes.
struct call_route {
    base::endpoint address;
    /// True if another node passes the call on.
    bool relayed = false;
    std::uint64_t call_number = 0;
};

/// Times of a link, in ms.
struct router_limits {
    /// How long a node that could not pass a call on is not asked again.
    base::millis peer_backoff_ms = 1000;
    /// How long it counts that a peer said so, that the store is away from it
    /// as well.
    base::millis peer_report_ttl_ms = 1500;
    /// How often one call may go out. The store may turn a third of the nodes
    /// away at once; then one call in three through others fails, and four in
    /// a row one time in eighty.
    int max_attempts = 4;
    /// After so many failures of others in a row the store is taken to be away
    /// for all, and calls are not sent again: a third of the nodes fails so
    /// often by chance once in 6,000 rows.
    int max_consecutive_failures = 8;
    /// How often the calls are looked at, and from which distance of two looks
    /// on the node itself was held up.
    base::millis check_interval_ms = 50;
    base::millis stall_threshold_ms = 150;
};

/// Decides whether calls go to the store itself or through another node. The
/// store may turn single nodes away, or be cut off from them, while it serves
/// the rest; such a node would lose the jobs that it owns for as long, and
/// refuse its callers.
class store_router {
public:
    using peer_list_function = std::function<std::vector<base::endpoint>()>;
    using unreachable_callback = std::function<void()>;

    /// `lost` is called, perhaps within another call of the link, when the
    /// store has fallen silent. What was asked of the store itself should then
    /// be given up: it would hang until its time is over, and whoever waits
    /// for it would not go through another node before.
    store_router(base::clock clock, base::endpoint address,
                 peer_list_function peers, unreachable_callback lost = {},
                 router_limits times = {});

    /// Begins a call to the partition `of` that is to last `wait` ms and
    /// returns where it goes.
    call_route begin_call(base::millis wait, const partition& of);

    /// Returns true if a call of which the store did nothing should go out
    /// again at once. `tries` counts how often it did.
    bool should_retry(int tries) const;

    /// A call has ended; `served` if the store itself did what it was asked,
    /// `reached` if there was any answer.
    void end_call(const call_route& route, bool served, bool reached);

    /// Returns true if other nodes answer and do not reach the store either.
    /// Then nobody can have told the store anything that this node misses.
    bool is_store_down_for_all() const;

    /// Returns true while calls go through others; the store should then be
    /// tried now and then. To be called as often as `look` says.
    bool check_unreachable();

    /// Returns the partition whose call showed that the store is away. It is
    /// the one to try: a store that refuses single partitions serves the others
    /// all the while, and the link would go back and forth.
    const partition& failed_partition() const { return failed_partition_; }

    /// The store was tried and served within `ms`.
    void mark_reachable(base::millis ms);

    /// The store has moved to another address.
    void set_store_address(const base::endpoint& address);

private:
    struct pending_call {
        bool relayed = false;
        /// When it should be answered if the store took no time.
        base::millis expected_at = 0;
        /// When it is overdue.
        base::millis overdue_at = 0;
        partition source;
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
    /// Peers that passed a call on since this node was turned away. They are
    /// asked first: to try the others again and again would fail every third
    /// call while a third of the nodes is turned away.
    std::set<base::endpoint> working_peers_;
    int consecutive_failures_ = 0;
    std::uint64_t last_call_number_ = 0;
    base::stall_detector stall_detector_;
    bool unreachable_ = false;
    partition failed_partition_;
    /// When a peer last said that it could not pass a call on; 0 for never.
    base::millis peer_report_at_ = 0;
};

} // namespace hibiscus::store
