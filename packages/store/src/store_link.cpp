#include "hibiscus/store/store_link.hpp"

#include <utility>

namespace hibiscus::store {

store_link::store_link(base::clock clock, base::endpoint address,
                       peers_function peers, link_times times)
    : clock_(std::move(clock)), address_(std::move(address)),
      peers_(std::move(peers)), times_(times) {}

call_route store_link::begin(base::millis wait) {
    check();
    const auto now = clock_.now();
    call_route route{address_, false, ++last_};
    if (away_) {
        const auto peers = peers_();
        for (std::size_t n = 0; n < peers.size(); ++n) {
            const auto& peer = peers[(last_ + n) % peers.size()];
            const auto paused = paused_.find(peer);
            if (paused == paused_.end() || now >= paused->second) {
                route.to = peer;
                route.relayed = true;
                break;
            }
        }
    }
    pending_[route.number] = {route.relayed, now + wait + times_.overdue};
    return route;
}

bool store_link::down_for_all() const {
    return away_ && refused_by_peer_at_ != 0 &&
           clock_.now() - refused_by_peer_at_ < times_.peer_word;
}

void store_link::ended(const call_route& route, bool served, bool reached) {
    pending_.erase(route.number);
    if (served) {
        if (route.relayed) {
            refused_by_peer_at_ = 0;
        }
        return;
    }
    if (route.relayed) {
        if (reached) {
            refused_by_peer_at_ = clock_.now();
        }
        paused_[route.to] = clock_.now() + times_.peer_pause;
    } else {
        away_ = true;
    }
}

void store_link::check() {
    const auto now = clock_.now();
    for (auto& [number, p] : pending_) {
        if (!p.relayed && now > p.due) {
            away_ = true;
        }
    }
}

bool store_link::away() {
    check();
    return away_;
}

void store_link::back() {
    away_ = false;
    for (auto& [number, p] : pending_) {
        // What is still open belongs to the time before.
        p.relayed = true;
    }
}

} // namespace hibiscus::store
