#include "hibiscus/batch/owner_lease.hpp"

#include <algorithm>

namespace hibiscus::batch {

namespace {

/// A node with a smaller share of a core is small. Running the jobs of a fleet
/// takes a tenth of a core on average, and more at the start of a step.
constexpr double min_owner_cpu_share = 0.25;

/// Bounds of the pause after an append that failed, in ms. The longest is short
/// beside the lease timeout, so that a takeover is hardly later.
constexpr base::millis min_append_pause = 50;
constexpr base::millis max_append_pause = 200;

} // namespace

owner_lease::owner_lease(base::clock clock, base::node_id node,
                         std::string incarnation, owner_lease_times times,
                         double random_fraction, double cpu_share)
    : clock_(std::move(clock)), node_(std::move(node)),
      incarnation_(std::move(incarnation)), times_(times),
      is_small_node_(cpu_share < min_owner_cpu_share),
      claim_delay_(
          static_cast<base::millis>(random_fraction *
                                    static_cast<double>(times.max_jitter)) +
          (is_small_node_ ? times.small_node_delay : 0)),
      random_fraction_(random_fraction) {}

bool owner_lease::is_held(const job_table& jobs) const {
    const auto& owner = jobs.owner();
    return owner && owner->record.node == node_ &&
           owner->record.incarnation == incarnation_ &&
           !owner->record.handed_over;
}

void owner_lease::set_store_reachable(bool reachable) {
    if (reachable) {
        append_pause_ = 0;
        claim_again_at_ = 0;
        store_reachable_since_ = clock_.now();
    }
}

void owner_lease::on_renewed() {
    renewed_at_ = clock_.now();
    append_pause_ = 0;
    claim_again_at_ = 0;
}

void owner_lease::on_append_failed(const store::append_result& result) {
    if (const auto* conflict = std::get_if<store::append_conflict>(&result)) {
        conflict_end_ = std::max(conflict_end_, conflict->end);
        return;
    }
    append_pause_ =
        std::clamp(2 * append_pause_, min_append_pause, max_append_pause);
    claim_again_at_ =
        clock_.now() + append_pause_ / 2 +
        static_cast<base::millis>(random_fraction_ *
                                  static_cast<double>(append_pause_) / 2);
}

bool owner_lease::may_claim(store::log_offset read_to) const {
    return read_to >= conflict_end_ && clock_.now() >= claim_again_at_;
}

bool owner_lease::is_renewal_overdue() const {
    return clock_.now() - renewed_at_ >= times_.renewal_timeout;
}

void owner_lease::start_cooldown() {
    cooldown_until_ = clock_.now() + times_.cooldown;
}

lease_action owner_lease::next_action(const job_table& jobs,
                                      base::millis current_as_of) const {
    const auto now = clock_.now();
    if (is_held(jobs)) {
        return now - renewed_at_ >= times_.renew_interval ? lease_action::renew
                                                          : lease_action::none;
    }
    if (now < cooldown_until_ || !is_claimable(jobs, current_as_of)) {
        return lease_action::none;
    }
    return lease_action::claim;
}

bool owner_lease::is_claimable(const job_table& jobs,
                               base::millis current_as_of) const {
    const auto& owner = jobs.owner();
    if (!owner) {
        return current_as_of - store_reachable_since_ >= claim_delay_;
    }
    // The record is of this node: of an earlier process, which is gone, or of
    // this one after a handover. A small node waits all the same, so that a
    // larger one may claim first.
    if (owner->record.node == node_ && !is_small_node_) {
        return true;
    }
    const auto silent_since =
        std::max(owner->last_seen_at, store_reachable_since_);
    const auto silence = current_as_of - silent_since;
    return silence >= (owner->record.handed_over ? 0 : times_.lease_timeout) +
                          claim_delay_;
}

} // namespace hibiscus::batch
