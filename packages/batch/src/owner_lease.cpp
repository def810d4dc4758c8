#include "hibiscus/batch/owner_lease.hpp"

#include <algorithm>

namespace hibiscus::batch {

namespace {

/// A node with less of a core than this is small: running the jobs of a fleet
/// takes a tenth of a core on the mean, which leaves nothing for the beginning
/// of a step.
constexpr double min_owner_cpu_share = 0.25;

} // namespace

owner_lease::owner_lease(base::clock clock, base::node_id node,
                         std::string incarnation, owner_lease_times times,
                         double draw, double cpu_share)
    : clock_(std::move(clock)), node_(std::move(node)),
      incarnation_(std::move(incarnation)), times_(times),
      is_small_node_(cpu_share < min_owner_cpu_share),
      claim_delay_(static_cast<base::millis>(
                       draw * static_cast<double>(times.max_jitter)) +
                   (is_small_node_ ? times.small_node_delay : 0)) {}

bool owner_lease::is_held(const job_table& l) const {
    const auto& o = l.owner();
    return o && o->record.node == node_ &&
           o->record.incarnation == incarnation_ && !o->record.handed_over;
}

void owner_lease::set_store_reachable(bool up) {
    if (up) {
        store_reachable_since_ = clock_.now();
    }
}

void owner_lease::on_renewed() {
    renewed_at_ = clock_.now();
}

bool owner_lease::is_renewal_overdue() const {
    return clock_.now() - renewed_at_ >= times_.renewal_timeout;
}

void owner_lease::start_cooldown() {
    cooldown_until_ = clock_.now() + times_.cooldown;
}

lease_action owner_lease::next_action(const job_table& l,
                                      base::millis current_at) const {
    const auto now = clock_.now();
    if (is_held(l)) {
        return now - renewed_at_ >= times_.renew_interval ? lease_action::renew
                                                          : lease_action::none;
    }
    if (now < cooldown_until_ || !is_claimable(l, current_at)) {
        return lease_action::none;
    }
    return lease_action::claim;
}

bool owner_lease::is_claimable(const job_table& l,
                               base::millis current_at) const {
    const auto& o = l.owner();
    if (!o) {
        return current_at - store_reachable_since_ >= claim_delay_;
    }
    // The owner's own node has started anew: the process that the record
    // names is gone.
    if (o->record.node == node_ && !is_small_node_) {
        return true;
    }
    const auto since = std::max(o->last_seen_at, store_reachable_since_);
    const auto silent = current_at - since;
    return silent >=
           (o->record.handed_over ? 0 : times_.lease_timeout) + claim_delay_;
}

} // namespace hibiscus::batch
