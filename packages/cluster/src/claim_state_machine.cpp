#include "hibiscus/cluster/claim_state_machine.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::cluster {

namespace {

/// Writers without recent records are dropped from a snapshot only while it has
/// more writers than this.
constexpr std::size_t min_writers_per_snapshot = 256;

} // namespace

std::vector<base::request_id>
claim_state_machine::apply(wire::log_offset offset,
                           const wire::claim_record& record) {
    if (offset < next_offset_) {
        return {};
    }
    next_offset_ = offset + 1;
    if (!gap_) {
        collect_snapshot_part(record);
        return apply_record(offset, record);
    }
    gap_->deferred_records.emplace_back(offset, record);
    collect_snapshot_part(record);
    if (gap_ && next_offset_ >= gap_->end) {
        resume_without_snapshot();
    }
    return {};
}

std::vector<base::request_id>
claim_state_machine::apply_record(wire::log_offset offset,
                                  const wire::claim_record& record) {
    std::vector<base::request_id> claimed;
    if (is_duplicate(offset, record)) {
        return claimed;
    }
    if (record.starts_epoch) {
        start_epoch(offset, record);
    }
    for (const auto& item : record.items) {
        if (apply_item(item)) {
            claimed.push_back(item.key);
        }
    }
    return claimed;
}

void claim_state_machine::start_epoch(wire::log_offset offset,
                                      const wire::claim_record& record) {
    // After a loss of records, this may be a duplicate of a record that was
    // dropped. Other nodes read the first copy, ignore this one, and are in a
    // different epoch. Accepting it here would create a second holder, which
    // could run the same requests.
    if (epoch_barrier_ && (record.node != epoch_barrier_->node ||
                           record.incarnation != epoch_barrier_->incarnation ||
                           record.sequence <= epoch_barrier_->sequence)) {
        return;
    }
    epoch_barrier_.reset();
    epoch_ = shard_epoch{offset, record.node, record.incarnation};
}

bool claim_state_machine::is_duplicate(wire::log_offset offset,
                                       const wire::claim_record& record) {
    // A late duplicate of a release would free a key that was claimed again
    // since, and the request would run twice. A writer has at most one append
    // in flight, so a record whose sequence number does not increase is a
    // duplicate.
    auto& position = writers_[{record.node, record.incarnation}];
    if (record.sequence <= position.sequence) {
        return true;
    }
    position = {record.sequence, offset};
    return false;
}

void claim_state_machine::handle_truncation(wire::log_offset first,
                                            wire::log_offset end,
                                            base::millis created_before_ms,
                                            const wire::claim_writer& self) {
    if (first <= next_offset_) {
        return;
    }
    // A lost record may contain the claim of a request that was executed. No
    // key is known to be free until a snapshot covers the lost records.
    next_offset_ = first;
    epoch_.reset();
    partial_snapshot_ = {};
    epoch_barrier_.reset();
    gap_ = log_gap{first, end, created_before_ms, self, {}};
    if (first >= end) {
        resume_without_snapshot();
    }
}

void claim_state_machine::collect_snapshot_part(
    const wire::claim_record& record) {
    if (!record.snapshot ||
        record.snapshot->covers < partial_snapshot_.covers ||
        (gap_ && record.snapshot->covers < gap_->first)) {
        return;
    }
    const auto& part = *record.snapshot;
    if (part.covers != partial_snapshot_.covers ||
        record.node != partial_snapshot_.node ||
        record.incarnation != partial_snapshot_.incarnation) {
        partial_snapshot_ = {part.covers, record.node, record.incarnation, {}};
    }
    partial_snapshot_.parts[part.part] = gap_ ? part : wire::claim_snapshot{};
    if (partial_snapshot_.parts.size() < part.parts) {
        return;
    }
    snapshot_offset_ = std::max(snapshot_offset_, part.covers);
    const auto complete = std::exchange(partial_snapshot_, {});
    partial_snapshot_.covers = complete.covers;
    if (gap_) {
        restore_snapshot(complete);
    }
}

void claim_state_machine::restore_snapshot(const partial_snapshot& complete) {
    claims_.clear();
    writers_.clear();
    for (const auto& [number, part] : complete.parts) {
        for (const auto& item : part.claims) {
            const bool has_outcome = item.kind == wire::claim_kind::outcome;
            claims_[item.key] = {item.epoch, item.created_ms,
                                 has_outcome ? std::make_optional(item.body)
                                             : std::nullopt};
        }
        for (const auto& writer : part.writers) {
            writers_[{writer.node, writer.incarnation}] = {writer.sequence,
                                                           writer.at};
        }
        if (part.epoch >= 0) {
            epoch_ = shard_epoch{part.epoch, part.holder, part.incarnation};
        }
        claims_dropped_before_ms_ =
            std::max(claims_dropped_before_ms_, part.forgotten_before);
    }
    apply_deferred_records(complete.covers);
}

void claim_state_machine::apply_deferred_records(wire::log_offset first) {
    const auto deferred = std::move(gap_->deferred_records);
    gap_.reset();
    for (const auto& [offset, record] : deferred) {
        if (offset >= first) {
            apply_record(offset, record);
        }
    }
}

void claim_state_machine::resume_without_snapshot() {
    claims_dropped_before_ms_ =
        std::max(claims_dropped_before_ms_, gap_->created_before_ms);
    epoch_barrier_ = gap_->self;
    apply_deferred_records(gap_->first);
}

std::vector<wire::claim_snapshot>
claim_state_machine::make_snapshot(std::size_t max_claims_per_part) const {
    wire::claim_snapshot header;
    header.covers = next_offset_;
    header.forgotten_before = claims_dropped_before_ms_;
    auto oldest_needed = next_offset_;
    if (epoch_) {
        header.epoch = epoch_->number;
        header.holder = epoch_->node;
        header.incarnation = epoch_->incarnation;
        oldest_needed = epoch_->number;
    }
    std::vector<wire::claim_snapshot> parts{header};
    for (const auto& [key, claim] : claims_) {
        oldest_needed = std::min(oldest_needed, claim.epoch);
        if (parts.back().claims.size() >= max_claims_per_part) {
            parts.push_back(header);
        }
        parts.back().claims.push_back(
            {claim.body ? wire::claim_kind::outcome : wire::claim_kind::claim,
             key, claim.epoch, claim.created_ms, claim.body.value_or("")});
    }
    // A state machine that does not know a writer would accept a late duplicate
    // of its record. The snapshot therefore keeps every writer that appended a
    // record since the oldest of the current epoch and the epochs of all
    // claims. Of the other writers it keeps the most recent ones, whose
    // duplicates may still be in flight.
    std::vector<wire::claim_writer> writers;
    for (const auto& [writer, position] : writers_) {
        writers.push_back(
            {writer.first, writer.second, position.sequence, position.offset});
    }
    std::sort(writers.begin(), writers.end(),
              [](const auto& a, const auto& b) { return a.at > b.at; });
    while (writers.size() > min_writers_per_snapshot &&
           writers.back().at < oldest_needed) {
        writers.pop_back();
    }
    parts.front().writers = std::move(writers);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].part = static_cast<std::uint32_t>(i);
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

bool claim_state_machine::apply_item(const wire::claim_item& item) {
    const auto it = claims_.find(item.key);
    switch (item.kind) {
    case wire::claim_kind::claim:
        // Until an epoch is known after a loss of records, every claim may be a
        // valid one.
        if (epoch_barrier_ && it == claims_.end()) {
            claims_[item.key] = {item.epoch, item.created_ms, std::nullopt};
            return false;
        }
        // A holder that was paused may append a claim under its old epoch after
        // a new epoch has started. By then the new holder may have responded to
        // callers of the key.
        if (it != claims_.end() || !epoch_ || item.epoch != epoch_->number) {
            return false;
        }
        claims_[item.key] = {item.epoch, item.created_ms, std::nullopt};
        return true;
    case wire::claim_kind::outcome:
        if (it != claims_.end() && it->second.epoch == item.epoch) {
            it->second.body = item.body;
        }
        return false;
    case wire::claim_kind::release:
        if (it != claims_.end() && it->second.epoch == item.epoch &&
            !it->second.body) {
            claims_.erase(it);
        }
        return false;
    }
    return false;
}

const claim_entry*
claim_state_machine::find(const base::request_id& key) const {
    const auto it = claims_.find(key);
    return it == claims_.end() ? nullptr : &it->second;
}

const shard_epoch* claim_state_machine::current_epoch() const {
    return epoch_ ? &*epoch_ : nullptr;
}

void claim_state_machine::drop_claims_before(base::millis created_before_ms) {
    claims_dropped_before_ms_ =
        std::max(claims_dropped_before_ms_, created_before_ms);
    for (auto it = claims_.begin(); it != claims_.end();) {
        it = it->second.created_ms < created_before_ms ? claims_.erase(it)
                                                       : std::next(it);
    }
}

} // namespace hibiscus::cluster
