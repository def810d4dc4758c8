#include "hibiscus/cluster/claim_state_machine.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::cluster {

namespace {

/// Writers without claims that a snapshot still names.
constexpr std::size_t max_idle_writers = 256;

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
    // After a loss this may be a copy of a record that is gone. Those who read
    // the first one drop it and go on under another epoch; a holder by this
    // fold would then run what they run.
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
    // A late copy of a release would free a key that was claimed again since,
    // and the request would run twice. A writer has one append on its way at a
    // time, so a number that does not grow is a copy.
    auto& last = writers_[{record.node, record.incarnation}];
    if (record.sequence <= last.sequence) {
        return true;
    }
    last = {record.sequence, offset};
    return false;
}

void claim_state_machine::handle_truncation(wire::log_offset first,
                                            wire::log_offset end,
                                            base::millis created_before_ms,
                                            const wire::claim_writer& self) {
    if (first <= next_offset_) {
        return;
    }
    // A claim among the lost records may stand for a request that ran. Until a
    // snapshot tells, no key can be said to be free.
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
            const bool known = item.kind == wire::claim_kind::outcome;
            claims_[item.key] = {item.epoch, item.created_ms,
                                 known ? std::make_optional(item.body)
                                       : std::nullopt};
        }
        for (const auto& w : part.writers) {
            writers_[{w.node, w.incarnation}] = {w.sequence, w.at};
        }
        if (part.epoch >= 0) {
            epoch_ = shard_epoch{part.epoch, part.holder, part.incarnation};
        }
        dropped_before_ = std::max(dropped_before_, part.forgotten_before);
    }
    apply_deferred_records(complete.covers);
}

void claim_state_machine::apply_deferred_records(wire::log_offset from) {
    const auto waiting = std::move(gap_->deferred_records);
    gap_.reset();
    for (const auto& [offset, record] : waiting) {
        if (offset >= from) {
            apply_record(offset, record);
        }
    }
}

void claim_state_machine::resume_without_snapshot() {
    dropped_before_ = std::max(dropped_before_, gap_->created_before_ms);
    epoch_barrier_ = gap_->self;
    apply_deferred_records(gap_->first);
}

std::vector<wire::claim_snapshot>
claim_state_machine::make_snapshot(std::size_t most) const {
    wire::claim_snapshot head;
    head.covers = next_offset_;
    head.forgotten_before = dropped_before_;
    auto oldest = next_offset_;
    if (epoch_) {
        head.epoch = epoch_->number;
        head.holder = epoch_->node;
        head.incarnation = epoch_->incarnation;
        oldest = epoch_->number;
    }
    std::vector<wire::claim_snapshot> parts{head};
    for (const auto& [key, row] : claims_) {
        oldest = std::min(oldest, row.epoch);
        if (parts.back().claims.size() >= most) {
            parts.push_back(head);
        }
        parts.back().claims.push_back(
            {row.body ? wire::claim_kind::outcome : wire::claim_kind::claim,
             key, row.epoch, row.created_ms, row.body.value_or("")});
    }
    // A fold that lacks a writer takes a late copy of its record for new. So
    // all writers stay that have claims, and of the others the latest, whose
    // copies may still be on their way.
    std::vector<wire::claim_writer> writers;
    for (const auto& [writer, last] : writers_) {
        writers.push_back(
            {writer.first, writer.second, last.sequence, last.offset});
    }
    std::sort(writers.begin(), writers.end(),
              [](const auto& a, const auto& b) { return a.at > b.at; });
    while (writers.size() > max_idle_writers && writers.back().at < oldest) {
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
    const auto at = claims_.find(item.key);
    switch (item.kind) {
    case wire::claim_kind::claim:
        // Without an epoch to judge by, each claim may be one that runs.
        if (epoch_barrier_ && at == claims_.end()) {
            claims_[item.key] = {item.epoch, item.created_ms, std::nullopt};
            return false;
        }
        // A holder that was paused may append under its old epoch after a new
        // one began; the new holder has answered for the key by then.
        if (at != claims_.end() || !epoch_ || item.epoch != epoch_->number) {
            return false;
        }
        claims_[item.key] = {item.epoch, item.created_ms, std::nullopt};
        return true;
    case wire::claim_kind::outcome:
        if (at != claims_.end() && at->second.epoch == item.epoch) {
            at->second.body = item.body;
        }
        return false;
    case wire::claim_kind::release:
        if (at != claims_.end() && at->second.epoch == item.epoch &&
            !at->second.body) {
            claims_.erase(at);
        }
        return false;
    }
    return false;
}

const claim_entry*
claim_state_machine::find(const base::request_id& key) const {
    const auto at = claims_.find(key);
    return at == claims_.end() ? nullptr : &at->second;
}

const shard_epoch* claim_state_machine::current_epoch() const {
    return epoch_ ? &*epoch_ : nullptr;
}

void claim_state_machine::drop_claims_before(base::millis created_before_ms) {
    dropped_before_ = std::max(dropped_before_, created_before_ms);
    for (auto at = claims_.begin(); at != claims_.end();) {
        at = at->second.created_ms < created_before_ms ? claims_.erase(at)
                                                       : std::next(at);
    }
}

} // namespace hibiscus::cluster
