#pragma once

#include "hibiscus/wire/claims.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::cluster {

/// What the stream of a shard says of a key.
struct claim_entry {
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
class claim_state_machine {
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
    void handle_truncation(wire::log_offset first, wire::log_offset end,
                           base::millis created_before_ms,
                           const wire::claim_writer& self);

    /// Returns what has been applied, in parts of at most `most` claims.
    std::vector<wire::claim_snapshot> make_snapshot(std::size_t most) const;

    /// Returns the offset from which on the stream explains itself.
    wire::log_offset snapshot_offset() const { return snapshot_offset_; }

    /// Returns the claim of `key`, or null if there is none.
    const claim_entry* find(const base::request_id& key) const;

    /// Returns the epoch in force, or null before the first.
    const shard_epoch* current_epoch() const;

    /// Drops the claims of requests made before `created_before_ms`, by the
    /// time of day.
    void drop_claims_before(base::millis created_before_ms);

    /// Returns the time of day before which claims may have been dropped. A
    /// request made before it may have run unseen.
    base::millis dropped_before() const { return dropped_before_; }

    /// Returns the offset after the last record that was applied.
    wire::log_offset next_offset() const { return next_offset_; }

    /// Returns the number of claims held.
    std::size_t claim_count() const { return claims_.size(); }

private:
    /// The last record of a writer.
    struct writer_position {
        std::uint64_t sequence = 0;
        wire::log_offset offset = 0;
    };

    /// The snapshot whose parts are being read.
    struct partial_snapshot {
        wire::log_offset covers = 0;
        base::node_id node;
        std::uint64_t incarnation = 0;
        std::map<std::uint32_t, wire::claim_snapshot> parts;
    };

    /// What is held back while records are missing.
    struct log_gap {
        wire::log_offset first = 0;
        wire::log_offset end = 0;
        base::millis created_before_ms = 0;
        wire::claim_writer self;
        std::vector<std::pair<wire::log_offset, wire::claim_record>>
            deferred_records;
    };

    std::vector<base::request_id>
    apply_record(wire::log_offset offset, const wire::claim_record& record);
    void start_epoch(wire::log_offset offset, const wire::claim_record& record);
    bool is_duplicate(wire::log_offset offset,
                      const wire::claim_record& record);
    bool apply_item(const wire::claim_item& item);
    void collect_snapshot_part(const wire::claim_record& record);
    void restore_snapshot(const partial_snapshot& complete);
    void apply_deferred_records(wire::log_offset from);
    void resume_without_snapshot();

    std::map<base::request_id, claim_entry> claims_;
    std::optional<shard_epoch> epoch_;
    std::map<std::pair<base::node_id, std::uint64_t>, writer_position> writers_;
    std::optional<log_gap> gap_;
    /// Set while nobody can tell which epoch is in force: the writer whose
    /// next epoch record is certain to be no copy.
    std::optional<wire::claim_writer> epoch_barrier_;
    partial_snapshot partial_snapshot_;
    wire::log_offset snapshot_offset_ = 0;
    wire::log_offset next_offset_ = 0;
    base::millis dropped_before_ = 0;
};

} // namespace hibiscus::cluster
