#include "hibiscus/store/store_link.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::store {

store_link::store_link(base::clock clock, base::endpoint address,
                       peers_function peers, lost_function lost,
                       link_times times)
    : clock_(std::move(clock)), address_(std::move(address)),
      peers_(std::move(peers)), lost_(std::move(lost)), times_(times),
      delay_(times.look, times.late_look) {}

bool store_link::paused(const base::endpoint& peer) const {
    const auto row = paused_.find(peer);
    return row != paused_.end() && clock_.now() < row->second;
}

/// Returns the peer whose turn it is, of those that helped before if any did.
std::optional<base::endpoint> store_link::next_peer(std::uint64_t turn) const {
    const auto peers = peers_();
    std::optional<base::endpoint> other;
    for (std::size_t n = 0; n < peers.size(); ++n) {
        const auto& peer = peers[(turn + n) % peers.size()];
        if (paused(peer)) {
            continue;
        }
        if (good_.count(peer) != 0) {
            return peer;
        }
        if (!other) {
            other = peer;
        }
    }
    return other;
}

call_route store_link::begin(base::millis wait, const partition& of) {
    check();
    call_route route{address_, false, ++last_};
    if (away_) {
        if (auto peer = next_peer(last_)) {
            route.to = std::move(*peer);
            route.relayed = true;
        }
    }
    const auto earliest = clock_.now() + wait;
    pending_[route.number] = {route.relayed, earliest,
                              earliest + answers_.overdue_ms(), of};
    return route;
}

bool store_link::again(int tries) const {
    return away_ && tries < times_.tries &&
           failures_in_row_ < times_.failures && next_peer(last_ + 1);
}

bool store_link::down_for_all() const {
    return away_ && refused_by_peer_at_ != 0 &&
           clock_.now() - refused_by_peer_at_ < times_.peer_word;
}

void store_link::ended(const call_route& route, bool served, bool reached) {
    const auto known = pending_.find(route.number);
    partition of;
    if (known != pending_.end()) {
        // A read that brings a record before its wait is over says nothing of
        // how long the store takes.
        const auto ms = clock_.now() - known->second.earliest;
        if (served && !known->second.relayed && ms >= 0) {
            answers_.took(ms);
        }
        of = std::move(known->second.of);
        pending_.erase(known);
    }
    if (served) {
        if (route.relayed) {
            refused_by_peer_at_ = 0;
            failures_in_row_ = 0;
            good_.insert(route.to);
        }
        return;
    }
    if (route.relayed) {
        ++failures_in_row_;
        good_.erase(route.to);
        if (reached) {
            refused_by_peer_at_ = clock_.now();
        }
        paused_[route.to] = clock_.now() + times_.peer_pause;
    } else if (!std::exchange(away_, true)) {
        lost_partition_ = std::move(of);
    }
}

void store_link::check() {
    const auto now = clock_.now();
    const auto held_up = delay_.look(now);
    for (auto& [number, p] : pending_) {
        p.due += held_up;
    }
    const auto late =
        std::find_if(pending_.begin(), pending_.end(), [now](const auto& row) {
            return !row.second.relayed && now > row.second.due;
        });
    if (late == pending_.end() || std::exchange(away_, true)) {
        return;
    }
    lost_partition_ = late->second.of;
    if (lost_) {
        lost_();
    }
}

void store_link::move_to(const base::endpoint& address) {
    address_ = address;
    answers_ = {};
    forget_pending();
}

bool store_link::away() {
    check();
    return away_;
}

void store_link::back(base::millis ms) {
    answers_.took(ms);
    forget_pending();
}

void store_link::forget_pending() {
    away_ = false;
    failures_in_row_ = 0;
    good_.clear();
    for (auto& [number, p] : pending_) {
        // What is still open belongs to the time before.
        p.relayed = true;
    }
}

} // namespace hibiscus::store
