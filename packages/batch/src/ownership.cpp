#include "hibiscus/batch/ownership.hpp"

#include <algorithm>

namespace hibiscus::batch {

namespace {

/// A node with less of a core than this is small: running the jobs of a fleet
/// takes a tenth of a core on the mean, which leaves nothing for the beginning
/// of a step.
constexpr double enough_cpu = 0.25;

} // namespace

ownership::ownership(base::clock clock, base::node_id node,
                     std::string incarnation, ownership_times times,
                     double draw, double cpu_share)
    : clock_(std::move(clock)), node_(std::move(node)),
      incarnation_(std::move(incarnation)), times_(times),
      small_(cpu_share < enough_cpu),
      delay_(
          static_cast<base::millis>(draw * static_cast<double>(times.spread)) +
          (small_ ? times.small_node : 0)) {}

bool ownership::mine(const ledger& l) const {
    const auto& o = l.owner();
    return o && o->record.node == node_ &&
           o->record.incarnation == incarnation_ && !o->record.left;
}

void ownership::contact(bool up) {
    if (up) {
        heard_since_ = clock_.now();
    }
}

void ownership::renewed() {
    renewed_at_ = clock_.now();
}

bool ownership::overdue() const {
    return clock_.now() - renewed_at_ >= times_.overdue;
}

void ownership::abstain() {
    abstain_until_ = clock_.now() + times_.abstain;
}

ownership_step ownership::next(const ledger& l, base::millis current_at) const {
    const auto now = clock_.now();
    if (mine(l)) {
        return now - renewed_at_ >= times_.renew ? ownership_step::renew
                                                 : ownership_step::nothing;
    }
    if (now < abstain_until_ || !vacant(l, current_at)) {
        return ownership_step::nothing;
    }
    return ownership_step::claim;
}

bool ownership::vacant(const ledger& l, base::millis current_at) const {
    const auto& o = l.owner();
    if (!o) {
        return current_at - heard_since_ >= delay_;
    }
    // The owner's own node has started anew: the process that the record
    // names is gone.
    if (o->record.node == node_ && !small_) {
        return true;
    }
    const auto since = std::max(o->seen_at, heard_since_);
    const auto silent = current_at - since;
    return silent >= (o->record.left ? 0 : times_.silence) + delay_;
}

} // namespace hibiscus::batch
