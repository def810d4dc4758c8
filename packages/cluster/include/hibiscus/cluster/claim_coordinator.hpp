#pragma once

#include "hibiscus/cluster/claim_state_machine.hpp"
#include "hibiscus/wire/service.hpp"

#include <deque>
#include <set>
#include <variant>

namespace hibiscus::cluster {

/// Identifies a caller that waits for a response.
using claim_waiter_id = std::uint64_t;

using shard_number = std::uint32_t;

/// Returns the shard that `key` belongs to.
shard_number shard_of(const base::request_id& key, shard_number shards);

/// Appends a record to the log of a shard. Every retry uses the same id.
struct append_claims {
    shard_number shard = 0;
    base::append_id id;
    wire::claim_record record;
};

/// Sends a request to its service. Its claim was read back and is valid.
struct dispatch_request {
    wire::service_request request;
    /// In monotonic time.
    base::millis deadline = 0;
};

/// Sends the response to a caller.
struct send_response {
    claim_waiter_id waiter = 0;
    wire::service_response response;
};

/// An action that a claim_coordinator requests from its driver.
using claim_effect =
    std::variant<append_claims, dispatch_request, send_response>;

/// Settings of a claim_coordinator. Times are in ms.
struct claim_options {
    /// Minimum time between two appends to the same shard.
    base::millis append_interval = 10;
    std::size_t max_items_per_append = 1024;
    /// How long a rejected caller is asked to wait before its next attempt.
    base::millis retry_after = 200;
    /// How far the clock of a caller may be ahead of this node's clock.
    base::millis max_clock_skew = 5000;
    /// How long claims are relied on. A request that was created earlier than
    /// this, by the time of day, is not executed. Claims are dropped after
    /// twice this time.
    base::millis claim_retention = 600000;
    /// How long a caller waits beyond its deadline for a request that was
    /// dispatched. The dispatch itself ends at the deadline, and its outcome is
    /// more precise than a timeout.
    base::millis response_grace = 250;
    /// Number of records after which a snapshot is due, or the number of claims
    /// if that is larger. A snapshot may be due earlier by age, or once the log
    /// drops records.
    wire::log_offset min_records_until_snapshot = 256;
    /// Age of the last complete snapshot at which a new one is due, for a log
    /// that drops records by age.
    base::millis max_snapshot_age = 300000;
};

/// The outcome of an append.
enum class append_outcome {
    appended, ///< The record is in the log.
    refused,  ///< The record is not in the log and will not be.
    unknown   ///< The record may be in the log.
};

/// Runs the non-idempotent requests of the shards for which this node is the
/// home node. Claims each key in the log, and dispatches a request only after
/// its own claim was read back as the first valid one.
class claim_coordinator {
public:
    /// Constructs a coordinator without shards. `incarnation` identifies the
    /// process among those that ran under the same node id.
    claim_coordinator(base::node_id self, std::uint64_t incarnation,
                      claim_options options);

    /// Sets `claim_options::claim_retention`.
    void set_claim_retention(base::millis retention) {
        options_.claim_retention = retention;
    }

    /// Sets the shards for which this node is the home node. For each new shard
    /// an epoch record is appended. For a shard that moved away, the requests
    /// that have not been dispatched are rejected.
    void assign_shards(const std::set<shard_number>& shards);

    /// Accepts a request of a caller; the response follows as a `send_response`
    /// effect. `now` is monotonic time, `wall` the time of day.
    void submit(base::millis now, base::millis wall, claim_waiter_id waiter,
                shard_number shard, const wire::service_request& request);

    /// Sets the range of offsets that the log of a shard holds. Must be called
    /// before the records of the same read are applied.
    void on_stream_bounds(base::millis now, base::millis wall,
                          shard_number shard, wire::log_offset first,
                          wire::log_offset end);

    /// Applies a record of the log of a shard. Must be called in the order of
    /// offsets.
    void apply_record(base::millis now, shard_number shard,
                      wire::log_offset offset,
                      const wire::claim_record& record);

    /// Records the outcome of the append of `id`. An append that was refused or
    /// whose outcome is unknown is not retried before `retry_at`.
    void on_append_result(shard_number shard, const base::append_id& id,
                          append_outcome outcome, base::millis retry_at);

    /// Records the outcome of a dispatched request.
    void on_service_response(shard_number shard,
                             const wire::service_response& response);

    /// Sends the appends that are due and responds to callers whose deadlines
    /// have passed.
    void tick(base::millis now, base::millis wall);

    /// Returns the shards whose logs must be read, each with the offset to read
    /// from.
    std::vector<std::pair<shard_number, wire::log_offset>>
    shards_to_read() const;

    /// Returns the amount of work that a shutdown must wait for: requests
    /// without a response, queued items, and appends that have not succeeded.
    /// If the log of a shard rejects appends, only its requests count, because
    /// its items cannot be appended.
    std::size_t pending_count() const;

    /// Returns the pending effects in order and clears them.
    std::vector<claim_effect> take_effects();

private:
    enum class stage { queued, appending, running };

    /// A caller that waits for the response to a request. The deadline is in
    /// monotonic time.
    struct waiting_caller {
        claim_waiter_id waiter = 0;
        base::millis deadline = 0;
    };

    struct pending_request {
        wire::service_request request;
        std::vector<waiting_caller> waiters;
        /// The latest deadline of all waiters.
        base::millis deadline = 0;
        stage current_stage = stage::queued;
        /// Sequence number of the record that carries the claim.
        std::uint64_t sequence = 0;
    };

    struct shard_state {
        bool is_home = false;
        claim_state_machine state_machine;
        /// The epoch that this node holds; -1 if none.
        wire::log_offset held_epoch = -1;
        std::map<base::request_id, pending_request> pending;
        std::vector<wire::claim_item> queued_items;
        /// Keys whose release is queued or appended but has not been read back.
        std::set<base::request_id> unread_releases;
        /// Outcomes that are queued or appended but have not been read back.
        std::map<base::request_id, wire::claim_item> unread_outcomes;
        std::optional<append_claims> current_append;
        bool append_sent = false;
        /// True if an earlier attempt of `current_append` may have succeeded.
        bool append_uncertain = false;
        /// Sequence numbers of this node's last record that was appended, and
        /// of the last one that was read back.
        std::uint64_t last_appended = 0;
        std::uint64_t last_read_back = 0;
        /// Records of this node up to this sequence number may be duplicates of
        /// records that the log dropped before they were read.
        std::uint64_t sequence_barrier = 0;
        /// The lowest offset that the log still holds.
        wire::log_offset first_offset = 0;
        /// Snapshot parts that have not been appended yet.
        std::deque<wire::claim_snapshot> snapshot_parts;
        /// The last known snapshot_offset() of the state machine, and when it
        /// changed.
        wire::log_offset snapshot_offset = 0;
        base::millis snapshot_advanced_at = 0;
        base::millis snapshot_started_at = 0;
        base::millis append_not_before = 0;
        base::millis epoch_not_before = 0;
        bool log_failing = false;
    };

    bool holds_current_epoch(const shard_state& state) const;
    bool is_own(const wire::claim_record& record) const;
    static bool is_rejecting_claims(const shard_state& state, base::millis now);
    std::optional<wire::service_response>
    logged_response(const shard_state& state,
                    const base::request_id& key) const;
    std::optional<wire::service_response>
    known_response(const shard_state& state,
                   const wire::service_request& request, base::millis now,
                   base::millis wall) const;
    wire::service_response
    make_completed_response(const base::request_id& key,
                            const std::string& body) const;
    void respond_to_waiters(shard_state& state, const base::request_id& key,
                            const wire::service_response& response);
    void reject_unclaimed(shard_state& state, wire::reason reason);
    void on_epoch_change(base::millis now, shard_state& state,
                         wire::log_offset offset,
                         const wire::claim_record& record);
    void dispatch_claimed(base::millis now, shard_state& state,
                          const base::request_id& key);
    void on_own_record(shard_state& state, const wire::claim_record& record);
    void respond_to_rejected_claims(shard_state& state,
                                    const wire::claim_record& record);
    void queue_release(shard_state& state, const base::request_id& key);
    void expire_requests(base::millis now, shard_state& state);
    static void drop_queued_claims(shard_state& state,
                                   const std::set<base::request_id>& keys);
    bool expire_waiters(base::millis now, const base::request_id& key,
                        pending_request& pending);
    void drop_expired_claims(base::millis wall, shard_state& state);
    bool is_snapshot_due(base::millis now, const shard_state& state) const;
    void queue_snapshot(base::millis now, shard_state& state);
    bool prepare_append(base::millis now, shard_number shard,
                        shard_state& state);
    void send_append(base::millis now, shard_number shard, shard_state& state);

    base::node_id self_;
    std::uint64_t incarnation_;
    claim_options options_;
    std::map<shard_number, shard_state> shards_;
    std::uint64_t last_sequence_ = 0;
    std::vector<claim_effect> effects_;
};

} // namespace hibiscus::cluster

namespace hibiscus::base {

template <>
struct enum_names<cluster::append_outcome> {
    static constexpr std::array<enum_name<cluster::append_outcome>, 3> table{{
        {cluster::append_outcome::appended, "appended"},
        {cluster::append_outcome::refused, "refused"},
        {cluster::append_outcome::unknown, "unknown"},
    }};
};

} // namespace hibiscus::base
