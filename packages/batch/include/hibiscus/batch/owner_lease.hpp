#pragma once

#include "hibiscus/batch/job_table.hpp"

#include <string>

namespace hibiscus::batch {

/// Times of the owner lease, in ms.
struct owner_lease_times {
    /// The interval between two renewals.
    base::millis renew_interval = 200;
    /// Renewals are normally appended together with committed results. If the
    /// last successful renewal is older than this, the owner appends the next
    /// one on its own; two more attempts fit in before other nodes claim the
    /// lease.
    base::millis renewal_timeout = 400;
    /// An owner whose record was not renewed for this long is considered gone.
    /// A renewal takes 10 ms with a healthy store and half a second with one
    /// that is sixty times slower; two of the latter fit in.
    base::millis lease_timeout = 1000;
    /// Maximum random delay of a claim on top of the lease timeout, so that not
    /// all nodes append at once. The store accepts only one of several
    /// concurrent claims.
    base::millis max_jitter = 120;
    /// Additional claim delay of a node that is too small to run all jobs well,
    /// so that a larger node claims first if there is one.
    base::millis small_node_delay = 500;
    /// The time for which a node doesn't claim the lease again after it gave it
    /// up.
    base::millis cooldown = 6000;
};

/// What a node should do about the lease.
enum class lease_action { none, claim, renew };

/// Decides when a node claims or renews the owner lease. Safety doesn't depend
/// on it: a claim is appended on the condition that the journal has no records
/// beyond those the node has read, so one of two concurrent claims fails, and
/// the appends of a replaced owner are rejected.
class owner_lease {
public:
    /// `random_fraction` is a random number from 0 to 1 that sets the node's
    /// jitter; `cpu_share` is the share of a core that the node has.
    owner_lease(base::clock clock, base::node_id node, std::string incarnation,
                owner_lease_times times, double random_fraction,
                double cpu_share);

    /// Returns true if this process is the job owner according to the job
    /// table.
    bool is_held(const job_table& jobs) const;

    /// Called when the store becomes unreachable or reachable again. Only the
    /// time since the store became reachable counts towards the lease timeout:
    /// an outage of the store keeps the owner from renewing as well.
    void set_store_reachable(bool reachable);

    /// Called when the store has appended this process's owner record, for a
    /// claim or a renewal.
    void on_renewed();

    /// Called when the store has not appended a record of this process.
    void on_append_failed(const store::append_result& result);

    /// Returns whether a claim is worth a try by a node that has read the
    /// journal up to `read_to`: after a conflict it has to read the rest first,
    /// which may be the claim of another node; other failures are followed by a
    /// growing pause.
    bool may_claim(store::log_offset read_to) const;

    /// Returns true if the last renewal is older than renewal_timeout.
    bool is_renewal_overdue() const;

    /// Starts the cooldown after this process gave the lease up.
    void start_cooldown();

    /// Returns what to do now. `current_as_of` is the latest time at which the
    /// job table was known to be up to date.
    lease_action next_action(const job_table& jobs,
                             base::millis current_as_of) const;

private:
    bool is_claimable(const job_table& jobs, base::millis current_as_of) const;

    base::clock clock_;
    base::node_id node_;
    std::string incarnation_;
    owner_lease_times times_;
    bool is_small_node_;
    base::millis claim_delay_;
    /// Fraction of the pause after a failed append that is random.
    double random_fraction_;
    base::millis append_pause_ = 0;
    base::millis claim_again_at_ = 0;
    /// The end of the journal at the last conflict.
    store::log_offset conflict_end_ = 0;
    base::millis store_reachable_since_ = 0;
    base::millis renewed_at_ = 0;
    base::millis cooldown_until_ = 0;
};

} // namespace hibiscus::batch
