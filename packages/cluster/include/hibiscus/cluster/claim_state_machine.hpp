#pragma once

#include "hibiscus/wire/claims.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::cluster {

/// The state of one claimed key.
struct claim_entry {
    /// The epoch under which the key was claimed.
    wire::log_offset epoch = 0;
    base::millis created_ms = 0;
    /// The body of the response, once its outcome was read from the log.
    std::optional<std::string> body;
};

/// An epoch of a shard and the process that holds it. Its number is the offset
/// of the record that started it.
struct shard_epoch {
    wire::log_offset number = 0;
    base::node_id node;
    std::uint64_t incarnation = 0;
};

/// Computes the claims of one shard from the records of its log. Of all claims
/// for a key, only the first one made under the epoch in force counts, so at
/// most one holder may ever dispatch the request.
class claim_state_machine {
public:
    /// Applies one record and returns the keys whose claims became valid with
    /// it. Skips offsets that were applied before and records that a writer
    /// appended twice.
    std::vector<base::request_id> apply(wire::log_offset offset,
                                        const wire::claim_record& record);

    /// Handles the loss of records: retention dropped those before `first`, and
    /// the log currently ends at `end`. If some of them were not applied, later
    /// records are deferred until a snapshot that covers the lost ones is
    /// complete. If there is no such snapshot before `end`, requests created
    /// before `created_before_ms` (time of day) are treated as possibly
    /// executed, and no epoch counts until `self` starts one with a record of a
    /// higher sequence number.
    void handle_truncation(wire::log_offset first, wire::log_offset end,
                           base::millis created_before_ms,
                           const wire::claim_writer& self);

    /// Returns a snapshot of the current state, split into parts of at most
    /// `max_claims_per_part` claims.
    std::vector<wire::claim_snapshot>
    make_snapshot(std::size_t max_claims_per_part) const;

    /// Returns the offset before which the latest complete snapshot covers the
    /// log. That snapshot and the records from this offset on suffice to
    /// restore the state.
    wire::log_offset snapshot_offset() const { return snapshot_offset_; }

    /// Returns the claim of `key`, or null if there is none.
    const claim_entry* find(const base::request_id& key) const;

    /// Returns the epoch in force, or null if there is none.
    const shard_epoch* current_epoch() const;

    /// Drops the claims of requests created before `created_before_ms` (time of
    /// day).
    void drop_claims_before(base::millis created_before_ms);

    /// Returns the time of day before which claims may have been dropped. A
    /// request created earlier may have been executed even if its key is
    /// unknown.
    base::millis claims_dropped_before_ms() const {
        return claims_dropped_before_ms_;
    }

    /// Returns the offset of the next record to apply.
    wire::log_offset next_offset() const { return next_offset_; }

    std::size_t claim_count() const { return claims_.size(); }

private:
    /// The last record applied from a writer.
    struct writer_position {
        std::uint64_t sequence = 0;
        wire::log_offset offset = 0;
    };

    /// A snapshot of which some parts have been read.
    struct partial_snapshot {
        wire::log_offset covers = 0;
        base::node_id node;
        std::uint64_t incarnation = 0;
        std::map<std::uint32_t, wire::claim_snapshot> parts;
    };

    /// The state while lost records have not been replaced by a snapshot.
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
    void apply_deferred_records(wire::log_offset first);
    void resume_without_snapshot();

    std::map<base::request_id, claim_entry> claims_;
    std::optional<shard_epoch> epoch_;
    std::map<std::pair<base::node_id, std::uint64_t>, writer_position> writers_;
    std::optional<log_gap> gap_;
    /// Set while the epoch in force is unknown after a loss of records. Only a
    /// record of this writer with a higher sequence number is certain not to be
    /// a duplicate and may start an epoch.
    std::optional<wire::claim_writer> epoch_barrier_;
    partial_snapshot partial_snapshot_;
    wire::log_offset snapshot_offset_ = 0;
    wire::log_offset next_offset_ = 0;
    base::millis claims_dropped_before_ms_ = 0;
};

} // namespace hibiscus::cluster
