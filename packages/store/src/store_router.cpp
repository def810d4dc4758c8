#include "hibiscus/store/store_router.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::store {

store_router::store_router(base::clock clock, base::endpoint address,
                           peer_list_function list_peers,
                           unreachable_callback on_unreachable,
                           router_limits limits)
    : clock_(std::move(clock)), address_(std::move(address)),
      list_peers_(std::move(list_peers)),
      on_unreachable_(std::move(on_unreachable)), limits_(limits),
      stall_detector_(limits.check_interval_ms, limits.stall_threshold_ms) {}

bool store_router::is_backing_off(const base::endpoint& peer) const {
    const auto entry = peer_backoff_until_.find(peer);
    return entry != peer_backoff_until_.end() && clock_.now() < entry->second;
}

/// Returns the next peer in round-robin order, preferably one that has relayed
/// a call before; nothing if all peers are backing off.
std::optional<base::endpoint>
store_router::choose_peer(std::uint64_t turn) const {
    const auto peers = list_peers_();
    std::optional<base::endpoint> fallback;
    for (std::size_t n = 0; n < peers.size(); ++n) {
        const auto& peer = peers[(turn + n) % peers.size()];
        if (is_backing_off(peer)) {
            continue;
        }
        if (working_peers_.count(peer) != 0) {
            return peer;
        }
        if (!fallback) {
            fallback = peer;
        }
    }
    return fallback;
}

call_route store_router::begin_call(base::millis wait_ms,
                                    const partition& target_partition) {
    check_overdue_calls();
    call_route route{address_, false, ++last_call_number_};
    if (unreachable_) {
        if (auto peer = choose_peer(last_call_number_)) {
            route.address = std::move(*peer);
            route.relayed = true;
        }
    }
    const auto expected_at = clock_.now() + wait_ms;
    pending_calls_[route.call_number] = {
        route.relayed, expected_at,
        expected_at + direct_latency_.overdue_threshold_ms(), target_partition};
    return route;
}

bool store_router::should_retry(int attempts) const {
    return unreachable_ && attempts < limits_.max_attempts &&
           consecutive_failures_ < limits_.max_consecutive_failures &&
           choose_peer(last_call_number_ + 1);
}

bool store_router::is_store_down_for_all() const {
    return unreachable_ && peer_report_at_ != 0 &&
           clock_.now() - peer_report_at_ < limits_.peer_report_ttl_ms;
}

void store_router::end_call(const call_route& route, bool served,
                            bool responded) {
    const auto call = pending_calls_.find(route.call_number);
    partition target_partition;
    if (call != pending_calls_.end()) {
        // A read that returns a record before its wait is over does not show
        // the latency of the store.
        const auto latency_ms = clock_.now() - call->second.expected_at;
        if (served && !call->second.relayed && latency_ms >= 0) {
            direct_latency_.record_latency(latency_ms);
        }
        target_partition = std::move(call->second.target_partition);
        pending_calls_.erase(call);
    }
    if (served) {
        if (route.relayed) {
            peer_report_at_ = 0;
            consecutive_failures_ = 0;
            working_peers_.insert(route.address);
        }
        return;
    }
    if (route.relayed) {
        ++consecutive_failures_;
        working_peers_.erase(route.address);
        if (responded) {
            peer_report_at_ = clock_.now();
        }
        peer_backoff_until_[route.address] =
            clock_.now() + limits_.peer_backoff_ms;
    } else if (!std::exchange(unreachable_, true)) {
        failed_partition_ = std::move(target_partition);
    }
}

void store_router::check_overdue_calls() {
    const auto now = clock_.now();
    const auto stalled_ms = stall_detector_.tick(now);
    for (auto& [number, call] : pending_calls_) {
        call.overdue_at += stalled_ms;
    }
    const auto overdue = std::find_if(
        pending_calls_.begin(), pending_calls_.end(), [now](const auto& entry) {
            return !entry.second.relayed && now > entry.second.overdue_at;
        });
    if (overdue == pending_calls_.end() || std::exchange(unreachable_, true)) {
        return;
    }
    failed_partition_ = overdue->second.target_partition;
    if (on_unreachable_) {
        on_unreachable_();
    }
}

void store_router::set_store_address(const base::endpoint& address) {
    address_ = address;
    direct_latency_ = {};
    reset_failover();
}

bool store_router::check_unreachable() {
    check_overdue_calls();
    return unreachable_;
}

void store_router::mark_reachable(base::millis latency_ms) {
    direct_latency_.record_latency(latency_ms);
    reset_failover();
}

void store_router::reset_failover() {
    unreachable_ = false;
    consecutive_failures_ = 0;
    working_peers_.clear();
    for (auto& [number, call] : pending_calls_) {
        // Calls sent before must not count for the latency or as overdue.
        call.relayed = true;
    }
}

} // namespace hibiscus::store
