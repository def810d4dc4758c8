#pragma once

#include "hibiscus/cluster/claim_fold.hpp"
#include "hibiscus/wire/answers.hpp"

#include <deque>
#include <set>
#include <variant>

namespace hibiscus::cluster {

/// Names a caller that waits for an answer.
using claim_waiter = std::uint64_t;

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
struct answer_request {
    claim_waiter waiter = 0;
    wire::answer answer;
};

/// What a claim_home wants done.
using claim_effect =
    std::variant<append_claims, dispatch_request, answer_request>;

/// Times that steer a claim_home, in ms.
struct claim_times {
    /// The least time between two appends of claims to one shard.
    base::millis window = 10;
    /// The most items of one append.
    std::size_t most_items = 1024;
    /// How long a refused caller waits.
    base::millis refusal = 200;
    /// How far a caller's clock may be ahead.
    base::millis clock_skew = 5000;
    /// How long claims are kept, by the time of day.
    base::millis keep = 600000;
    /// How long past its deadline a caller waits for a request that runs; the
    /// dispatch ends at the deadline itself and tells more.
    base::millis answer_grace = 250;
    /// Records of a shard without a snapshot, before retention is known.
    wire::log_offset snapshot_records = 256;
    /// Time without a snapshot, for a log that drops records by their age.
    base::millis snapshot_age = 300000;
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
class claim_home {
public:
    /// Constructs a home without shards.
    claim_home(base::node_id self, std::uint64_t incarnation,
               claim_times times);

    /// Changes how long claims are kept, in ms.
    void set_keep(base::millis keep) { times_.keep = keep; }

    /// Sets the shards that this node is home for. A new one begins with an
    /// epoch record; an old one refuses what has not been claimed.
    void assign(const std::set<shard_number>& shards);

    /// Takes a caller's request. The answer comes through an effect.
    /// `now` is monotonic, `wall` the time of day.
    void submit(base::millis now, base::millis wall, claim_waiter waiter,
                shard_number shard, const wire::service_request& request);

    /// Notes what the log keeps of a shard's stream. Called before the records
    /// of the same page are read.
    void bounds(base::millis now, base::millis wall, shard_number shard,
                wire::log_offset first, wire::log_offset end);

    /// Takes over records of a shard's stream, in the order of offsets.
    void read(base::millis now, shard_number shard, wire::log_offset offset,
              const wire::claim_record& record);

    /// Notes how the append of `id` to `shard` ended. A refused or unknown
    /// one is tried again not before `retry_at`.
    void appended(shard_number shard, const base::append_id& id,
                  append_outcome outcome, base::millis retry_at);

    /// Notes how a dispatched request ended.
    void dispatched(shard_number shard, const wire::answer& answer);

    /// Sends due appends, answers callers whose deadlines have passed.
    void tick(base::millis now, base::millis wall);

    /// Returns the shards whose streams must be read, each with the offset to
    /// read from.
    std::vector<std::pair<shard_number, wire::log_offset>> reading() const;

    /// Returns the number of requests between submission and answer, and of
    /// records that still have to reach the log while it takes any.
    std::size_t pending() const;

    /// Returns what is to be done, in order, and forgets it.
    std::vector<claim_effect> take_effects();

private:
    enum class stage { queued, appending, running };

    /// One caller that waits for a request, by the monotonic clock.
    struct waiting_caller {
        claim_waiter waiter = 0;
        base::millis deadline = 0;
    };

    struct pending_request {
        wire::service_request request;
        std::vector<waiting_caller> waiters;
        /// The latest of the waiters' deadlines.
        base::millis deadline = 0;
        stage at = stage::queued;
        /// The number of the record that carries the claim.
        std::uint64_t sequence = 0;
    };

    struct shard_row {
        bool home = false;
        claim_fold fold;
        /// The epoch that this node holds; -1 if none.
        wire::log_offset held = -1;
        std::map<base::request_id, pending_request> pending;
        std::vector<wire::claim_item> queue;
        /// Keys whose release is queued, or in the log but not read back.
        std::set<base::request_id> releasing;
        /// Outcomes that are queued, or in the log but not read back.
        std::map<base::request_id, wire::claim_item> outcomes;
        std::optional<append_claims> in_flight;
        bool sent = false;
        /// True if an earlier try of the append in flight may be in the log.
        bool in_doubt = false;
        /// The last record of this node that is in the log, and that was read.
        std::uint64_t written = 0;
        std::uint64_t read_back = 0;
        /// Records of this node up to this number may be copies of some that
        /// were lost unread.
        std::uint64_t barrier = 0;
        /// The lowest offset that the log still has.
        wire::log_offset first = 0;
        /// Parts of a snapshot that have still to be written.
        std::deque<wire::claim_snapshot> parts;
        wire::log_offset covered = 0;
        base::millis covered_at = 0;
        base::millis snapshot_at = 0;
        base::millis not_before = 0;
        base::millis take_not_before = 0;
        bool log_failing = false;
    };

    bool ready(const shard_row& row) const;
    bool is_own(const wire::claim_record& record) const;
    static bool refuses(const shard_row& row, base::millis now);
    std::optional<wire::answer>
    logged_answer(const shard_row& row, const base::request_id& key) const;
    std::optional<wire::answer> known_answer(const shard_row& row,
                                             const wire::service_request& r,
                                             base::millis now,
                                             base::millis wall) const;
    wire::answer completed(const base::request_id& key,
                           const std::string& body) const;
    void answer_all(shard_row& row, const base::request_id& key,
                    const wire::answer& answer);
    void refuse_unclaimed(shard_row& row, wire::reason why);
    void take_epoch(base::millis now, shard_row& row, wire::log_offset offset,
                    const wire::claim_record& record);
    void start_claimed(base::millis now, shard_row& row,
                       const base::request_id& key);
    void read_back(shard_row& row, const wire::claim_record& record);
    void answer_rejected(shard_row& row, const wire::claim_record& record);
    void release(shard_row& row, const base::request_id& key);
    void expire(base::millis now, shard_row& row);
    static void drop_claims(shard_row& row,
                            const std::set<base::request_id>& keys);
    bool expire_waiters(base::millis now, const base::request_id& key,
                        pending_request& p);
    void forget(base::millis wall, shard_row& row);
    bool snapshot_due(base::millis now, const shard_row& row) const;
    void make_snapshot(base::millis now, shard_row& row);
    bool fill(base::millis now, shard_number shard, shard_row& row);
    void send(base::millis now, shard_number shard, shard_row& row);

    base::node_id self_;
    std::uint64_t incarnation_;
    claim_times times_;
    std::map<shard_number, shard_row> shards_;
    std::uint64_t appends_ = 0;
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
