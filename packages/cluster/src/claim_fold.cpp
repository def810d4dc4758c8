#include "hibiscus/cluster/claim_fold.hpp"

#include <algorithm>

namespace hibiscus::cluster {

std::vector<base::request_id>
claim_fold::apply(wire::log_offset offset, const wire::claim_record& record) {
    std::vector<base::request_id> claimed;
    if (offset < next_) {
        return claimed;
    }
    next_ = offset + 1;
    if (repeated(record)) {
        return claimed;
    }
    if (record.starts_epoch) {
        epoch_ = shard_epoch{offset, record.node, record.incarnation};
    }
    for (const auto& item : record.items) {
        if (apply_item(item)) {
            claimed.push_back(item.key);
        }
    }
    return claimed;
}

bool claim_fold::repeated(const wire::claim_record& record) {
    // A late copy of a release would free a key that was claimed again since,
    // and the request would run twice. A writer has one append on its way at a
    // time, so a number that does not grow is a copy.
    auto& last = written_[{record.node, record.incarnation}];
    if (record.sequence <= last) {
        return true;
    }
    last = record.sequence;
    return false;
}

bool claim_fold::apply_item(const wire::claim_item& item) {
    const auto at = claims_.find(item.key);
    switch (item.kind) {
    case wire::claim_kind::claim:
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

const claim_row* claim_fold::find(const base::request_id& key) const {
    const auto at = claims_.find(key);
    return at == claims_.end() ? nullptr : &at->second;
}

const shard_epoch* claim_fold::epoch() const {
    return epoch_ ? &*epoch_ : nullptr;
}

void claim_fold::forget(base::millis created_before_ms) {
    forgotten_before_ = std::max(forgotten_before_, created_before_ms);
    for (auto at = claims_.begin(); at != claims_.end();) {
        at = at->second.created_ms < created_before_ms ? claims_.erase(at)
                                                       : std::next(at);
    }
}

} // namespace hibiscus::cluster
