#include "hibiscus/store/store_router.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::store {

store_router::store_router(base::clock clock, base::endpoint address,
                           peer_list_function peers, unreachable_callback lost,
                           router_limits times)
    : clock_(std::move(clock)), address_(std::move(address)),
      list_peers_(std::move(peers)), on_unreachable_(std::move(lost)),
      limits_(times),
      stall_detector_(times.check_interval_ms, times.stall_threshold_ms) {}

bool store_router::is_backing_off(const base::endpoint& peer) const {
    const auto row = peer_backoff_until_.find(peer);
    return row != peer_backoff_until_.end() && clock_.now() < row->second;
}

/// Returns the peer whose turn it is, of those that helped before if any did.
std::optional<base::endpoint>
store_router::choose_peer(std::uint64_t turn) const {
    const auto peers = list_peers_();
    std::optional<base::endpoint> other;
    for (std::size_t n = 0; n < peers.size(); ++n) {
        const auto& peer = peers[(turn + n) % peers.size()];
        if (is_backing_off(peer)) {
            continue;
        }
        if (working_peers_.count(peer) != 0) {
            return peer;
        }
        if (!other) {
            other = peer;
        }
    }
    return other;
}

call_route store_router::begin_call(base::millis wait, const partition& of) {
    check_overdue_calls();
    call_route route{address_, false, ++last_call_number_};
    if (unreachable_) {
        if (auto peer = choose_peer(last_call_number_)) {
            route.address = std::move(*peer);
            route.relayed = true;
        }
    }
    const auto earliest = clock_.now() + wait;
    pending_calls_[route.call_number] = {
        route.relayed, earliest,
        earliest + direct_latency_.overdue_threshold_ms(), of};
    return route;
}

bool store_router::should_retry(int tries) const {
    return unreachable_ && tries < limits_.max_attempts &&
           consecutive_failures_ < limits_.max_consecutive_failures &&
           choose_peer(last_call_number_ + 1);
}

bool store_router::is_store_down_for_all() const {
    return unreachable_ && peer_report_at_ != 0 &&
           clock_.now() - peer_report_at_ < limits_.peer_report_ttl_ms;
}

void store_router::end_call(const call_route& route, bool served,
                            bool reached) {
    const auto known = pending_calls_.find(route.call_number);
    partition of;
    if (known != pending_calls_.end()) {
        // A read that brings a record before its wait is over says nothing of
        // how long the store takes.
        const auto ms = clock_.now() - known->second.expected_at;
        if (served && !known->second.relayed && ms >= 0) {
            direct_latency_.record_latency(ms);
        }
        of = std::move(known->second.source);
        pending_calls_.erase(known);
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
        if (reached) {
            peer_report_at_ = clock_.now();
        }
        peer_backoff_until_[route.address] =
            clock_.now() + limits_.peer_backoff_ms;
    } else if (!std::exchange(unreachable_, true)) {
        failed_partition_ = std::move(of);
    }
}

void store_router::check_overdue_calls() {
    const auto now = clock_.now();
    const auto held_up = stall_detector_.tick(now);
    for (auto& [number, p] : pending_calls_) {
        p.overdue_at += held_up;
    }
    const auto late = std::find_if(
        pending_calls_.begin(), pending_calls_.end(), [now](const auto& row) {
            return !row.second.relayed && now > row.second.overdue_at;
        });
    if (late == pending_calls_.end() || std::exchange(unreachable_, true)) {
        return;
    }
    failed_partition_ = late->second.source;
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

void store_router::mark_reachable(base::millis ms) {
    direct_latency_.record_latency(ms);
    reset_failover();
}

void store_router::reset_failover() {
    unreachable_ = false;
    consecutive_failures_ = 0;
    working_peers_.clear();
    for (auto& [number, p] : pending_calls_) {
        // What is still open belongs to the time before.
        p.relayed = true;
    }
}

} // namespace hibiscus::store
