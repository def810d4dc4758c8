#pragma once

#include "hibiscus/wire/claims.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::cluster {

/// What the stream of a shard says of a key.
struct claim_row {
    /// The epoch whose holder claimed the key.
    wire::log_offset epoch = 0;
    base::millis created_ms = 0;
    /// The answer, once the stream has it.
    std::optional<std::string> body;
};

/// The start of an epoch.
struct shard_epoch {
    wire::log_offset number = 0;
    base::node_id node;
    std::uint64_t incarnation = 0;
};

/// Folds the stream of one shard of keys. Of all claims for a key only the
/// first that was made under the epoch then in force counts, so at most one
/// holder ever may dispatch the request.
class claim_fold {
public:
    /// Applies one record. Returns the keys whose claim it made valid. A
    /// record at or before the last one is skipped, and so is the second copy
    /// of one that was appended twice.
    std::vector<base::request_id> apply(wire::log_offset offset,
                                        const wire::claim_record& record);

    /// Notes that retention dropped the records before `first`, and that the
    /// stream ends at `end` now. If some of them were not applied, what
    /// follows counts once a snapshot that covers them was read. If there is
    /// none up to `end`, requests made before `created_before_ms`, by the time
    /// of day, may have run unseen, and no epoch counts until `self` starts
    /// one with a record of a higher number.
    void skip_to(wire::log_offset first, wire::log_offset end,
                 base::millis created_before_ms,
                 const wire::claim_writer& self);

    /// Returns what has been applied, in parts of at most `most` claims.
    std::vector<wire::claim_snapshot> snapshot(std::size_t most) const;

    /// Returns the offset from which on the stream explains itself.
    wire::log_offset covered() const { return covered_; }

    /// Returns the claim of `key`, or null if there is none.
    const claim_row* find(const base::request_id& key) const;

    /// Returns the epoch in force, or null before the first.
    const shard_epoch* epoch() const;

    /// Drops the claims of requests made before `created_before_ms`, by the
    /// time of day.
    void forget(base::millis created_before_ms);

    /// Returns the time of day before which claims may have been dropped. A
    /// request made before it may have run unseen.
    base::millis forgotten_before() const { return forgotten_before_; }

    /// Returns the offset after the last record that was applied.
    wire::log_offset next() const { return next_; }

    /// Returns the number of claims held.
    std::size_t size() const { return claims_.size(); }

private:
    /// The last record of a writer.
    struct writer_row {
        std::uint64_t sequence = 0;
        wire::log_offset at = 0;
    };

    /// The snapshot whose parts are being read.
    struct partial_snapshot {
        wire::log_offset covers = 0;
        base::node_id node;
        std::uint64_t incarnation = 0;
        std::map<std::uint32_t, wire::claim_snapshot> parts;
    };

    /// What is held back while records are missing.
    struct missing_records {
        wire::log_offset first = 0;
        wire::log_offset end = 0;
        base::millis created_before_ms = 0;
        wire::claim_writer self;
        std::vector<std::pair<wire::log_offset, wire::claim_record>> waiting;
    };

    std::vector<base::request_id> apply_now(wire::log_offset offset,
                                            const wire::claim_record& record);
    void start_epoch(wire::log_offset offset, const wire::claim_record& record);
    bool repeated(wire::log_offset offset, const wire::claim_record& record);
    bool apply_item(const wire::claim_item& item);
    void collect(const wire::claim_record& record);
    void restore(const partial_snapshot& complete);
    void resume(wire::log_offset from);
    void give_up();

    std::map<base::request_id, claim_row> claims_;
    std::optional<shard_epoch> epoch_;
    std::map<std::pair<base::node_id, std::uint64_t>, writer_row> written_;
    std::optional<missing_records> missing_;
    /// Set while nobody can tell which epoch is in force: the writer whose
    /// next epoch record is certain to be no copy.
    std::optional<wire::claim_writer> uncertain_;
    partial_snapshot partial_;
    wire::log_offset covered_ = 0;
    wire::log_offset next_ = 0;
    base::millis forgotten_before_ = 0;
};

} // namespace hibiscus::cluster
