#pragma once

#include "hibiscus/cluster/claim_state_machine.hpp"
#include "hibiscus/wire/service.hpp"

#include <deque>
#include <set>
#include <variant>

namespace hibiscus::cluster {

/// Names a caller that waits for an answer.
using claim_waiter_id = std::uint64_t;

/// The number of one shard of keys.
using shard_number = std::uint32_t;

/// Returns the shard that `key` belongs to.
shard_number shard_of(const base::request_id& key, shard_number shards);

/// Append a record to a shard's stream. The same id is used for each try.
struct append_claims {
    shard_number shard = 0;
    base::append_id id;
    wire::claim_record record;
};

/// Send a request to its service: its claim is the first and stands.
struct dispatch_request {
    wire::service_request request;
    /// By the monotonic clock.
    base::millis deadline = 0;
};

/// Answer a caller.
struct send_response {
    claim_waiter_id waiter = 0;
    wire::service_response response;
};

/// What a claim_home wants done.
using claim_effect =
    std::variant<append_claims, dispatch_request, send_response>;

/// Times that steer a claim_home, in ms.
struct claim_options {
    /// The least time between two appends of claims to one shard.
    base::millis append_interval = 10;
    /// The most items of one append.
    std::size_t max_items_per_append = 1024;
    /// How long a refused caller waits.
    base::millis retry_after = 200;
    /// How far a caller's clock may be ahead.
    base::millis max_clock_skew = 5000;
    /// How long claims are kept, by the time of day.
    base::millis claim_retention = 600000;
    /// How long past its deadline a caller waits for a request that runs; the
    /// dispatch ends at the deadline itself and tells more.
    base::millis response_grace = 250;
    /// Records of a shard without a snapshot, before retention is known.
    wire::log_offset snapshot_interval_records = 256;
    /// Time without a snapshot, for a log that drops records by their age.
    base::millis max_snapshot_age = 300000;
};

/// How an append ended.
enum class append_outcome {
    appended, ///< It is in the log.
    refused,  ///< It is not, and will not be.
    unknown   ///< It may be.
};

/// Runs the non-idempotent requests of the shards whose home this node is:
/// claims each key in the log, and dispatches a request only after it has
/// read back that its claim is the first.
class claim_coordinator {
public:
    /// Constructs a home without shards.
    claim_coordinator(base::node_id self, std::uint64_t incarnation,
                      claim_options times);

    /// Changes how long claims are kept, in ms.
    void set_claim_retention(base::millis keep) {
        options_.claim_retention = keep;
    }

    /// Sets the shards that this node is home for. A new one begins with an
    /// epoch record; an old one refuses what has not been claimed.
    void assign_shards(const std::set<shard_number>& shards);

    /// Takes a caller's request. The answer comes through an effect.
    /// `now` is monotonic, `wall` the time of day.
    void submit(base::millis now, base::millis wall, claim_waiter_id waiter,
                shard_number shard, const wire::service_request& request);

    /// Notes what the log keeps of a shard's stream. Called before the records
    /// of the same page are read.
    void on_stream_bounds(base::millis now, base::millis wall,
                          shard_number shard, wire::log_offset first,
                          wire::log_offset end);

    /// Takes over records of a shard's stream, in the order of offsets.
    void apply_record(base::millis now, shard_number shard,
                      wire::log_offset offset,
                      const wire::claim_record& record);

    /// Notes how the append of `id` to `shard` ended. A refused or unknown
    /// one is tried again not before `retry_at`.
    void on_append_result(shard_number shard, const base::append_id& id,
                          append_outcome outcome, base::millis retry_at);

    /// Notes how a dispatched request ended.
    void on_service_response(shard_number shard,
                             const wire::service_response& answer);

    /// Sends due appends, answers callers whose deadlines have passed.
    void tick(base::millis now, base::millis wall);

    /// Returns the shards whose streams must be read, each with the offset to
    /// read from.
    std::vector<std::pair<shard_number, wire::log_offset>>
    shards_to_read() const;

    /// Returns the number of requests between submission and answer, and of
    /// records that still have to reach the log while it takes any.
    std::size_t pending_count() const;

    /// Returns what is to be done, in order, and forgets it.
    std::vector<claim_effect> take_effects();

private:
    enum class stage { queued, appending, running };

    /// One caller that waits for a request, by the monotonic clock.
    struct waiting_caller {
        claim_waiter_id waiter = 0;
        base::millis deadline = 0;
    };

    struct pending_request {
        wire::service_request request;
        std::vector<waiting_caller> waiters;
        /// The latest of the waiters' deadlines.
        base::millis deadline = 0;
        stage current_stage = stage::queued;
        /// The number of the record that carries the claim.
        std::uint64_t sequence = 0;
    };

    struct shard_state {
        bool is_home = false;
        claim_state_machine state_machine;
        /// The epoch that this node holds; -1 if none.
        wire::log_offset held_epoch = -1;
        std::map<base::request_id, pending_request> pending;
        std::vector<wire::claim_item> queued_items;
        /// Keys whose release is queued, or in the log but not read back.
        std::set<base::request_id> unread_releases;
        /// Outcomes that are queued, or in the log but not read back.
        std::map<base::request_id, wire::claim_item> unread_outcomes;
        std::optional<append_claims> in_flight;
        bool append_sent = false;
        /// True if an earlier try of the append in flight may be in the log.
        bool append_in_doubt = false;
        /// The last record of this node that is in the log, and that was read.
        std::uint64_t last_appended = 0;
        std::uint64_t last_read_back = 0;
        /// Records of this node up to this number may be copies of some that
        /// were lost unread.
        std::uint64_t sequence_barrier = 0;
        /// The lowest offset that the log still has.
        wire::log_offset first_offset = 0;
        /// Parts of a snapshot that have still to be written.
        std::deque<wire::claim_snapshot> snapshot_parts;
        wire::log_offset snapshot_offset = 0;
        base::millis snapshot_advanced_at = 0;
        base::millis snapshot_started_at = 0;
        base::millis append_not_before = 0;
        base::millis epoch_not_before = 0;
        bool log_failing = false;
    };

    bool holds_current_epoch(const shard_state& row) const;
    bool is_own(const wire::claim_record& record) const;
    static bool is_refusing(const shard_state& row, base::millis now);
    std::optional<wire::service_response>
    logged_response(const shard_state& row, const base::request_id& key) const;
    std::optional<wire::service_response>
    known_response(const shard_state& row, const wire::service_request& r,
                   base::millis now, base::millis wall) const;
    wire::service_response
    make_completed_response(const base::request_id& key,
                            const std::string& body) const;
    void respond_to_waiters(shard_state& row, const base::request_id& key,
                            const wire::service_response& answer);
    void reject_unclaimed(shard_state& row, wire::reason why);
    void on_epoch_change(base::millis now, shard_state& row,
                         wire::log_offset offset,
                         const wire::claim_record& record);
    void dispatch_claimed(base::millis now, shard_state& row,
                          const base::request_id& key);
    void on_own_record(shard_state& row, const wire::claim_record& record);
    void respond_to_rejected_claims(shard_state& row,
                                    const wire::claim_record& record);
    void queue_release(shard_state& row, const base::request_id& key);
    void expire_requests(base::millis now, shard_state& row);
    static void drop_queued_claims(shard_state& row,
                                   const std::set<base::request_id>& keys);
    bool expire_waiters(base::millis now, const base::request_id& key,
                        pending_request& p);
    void drop_expired_claims(base::millis wall, shard_state& row);
    bool is_snapshot_due(base::millis now, const shard_state& row) const;
    void queue_snapshot(base::millis now, shard_state& row);
    bool prepare_append(base::millis now, shard_number shard, shard_state& row);
    void send_append(base::millis now, shard_number shard, shard_state& row);

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
