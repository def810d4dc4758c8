#pragma once

#include "hibiscus/batch/job_table.hpp"

#include <string>

namespace hibiscus::batch {

/// Times of the ownership, in ms.
struct owner_lease_times {
    /// How often the owner renews its record.
    base::millis renew_interval = 200;
    /// A renewal that is not stored after so long goes out by itself, however
    /// the results fare that it rides with: two more tries fit before others
    /// claim.
    base::millis renewal_timeout = 400;
    /// An owner that was not seen for so long is taken to be gone. A renewal
    /// takes 10 ms on a sound store and half a second on one that is sixty
    /// times slower; two of those fit.
    base::millis lease_timeout = 1000;
    /// The most that a candidate waits besides, so that not all nodes append
    /// at once; of those that do, the store lets one through.
    base::millis max_jitter = 120;
    /// How much longer a node waits that is too small to run all jobs well,
    /// so that a larger one comes before it if there is one.
    base::millis small_node_delay = 500;
    /// How long a node that gave the ownership up does not take it again.
    base::millis cooldown = 6000;
};

/// What a node should do about the ownership.
enum class lease_action { none, claim, renew };

/// Decides when a node claims or renews the ownership. Safety never depends on
/// it: a claim is appended on the condition that nothing came since the last
/// record that was read, so that of two claims one loses, and an owner that
/// was replaced finds its appends refused.
class owner_lease {
public:
    /// `draw` is a random number from 0 to 1; `cpu_share` is the share of a
    /// core that the node has.
    owner_lease(base::clock clock, base::node_id node, std::string incarnation,
                owner_lease_times times, double draw, double cpu_share);

    /// Returns true if this process is the owner by the ledger.
    bool is_held(const job_table& l) const;

    /// The store was lost or is heard again. Silence counts from then on: a
    /// store that was away for all has kept the owner from renewing as well.
    void set_store_reachable(bool up);

    /// This process wrote the owner's record.
    void on_renewed();

    /// Returns true if this process should have renewed its record by now.
    bool is_renewal_overdue() const;

    /// This process gives the ownership up and leaves it to others for a
    /// while.
    void start_cooldown();

    /// Returns what to do now. `current_at` is when the ledger was last known
    /// to be current.
    lease_action next_action(const job_table& l, base::millis current_at) const;

private:
    bool is_claimable(const job_table& l, base::millis current_at) const;

    base::clock clock_;
    base::node_id node_;
    std::string incarnation_;
    owner_lease_times times_;
    bool is_small_node_;
    base::millis claim_delay_;
    base::millis store_reachable_since_ = 0;
    base::millis renewed_at_ = 0;
    base::millis cooldown_until_ = 0;
};

} // namespace hibiscus::batch
