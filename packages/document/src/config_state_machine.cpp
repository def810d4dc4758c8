#include "hibiscus/document/config_state_machine.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>

namespace hibiscus::document {

namespace {

/// The number of verdicts kept for operators who query them later. At 17,000
/// publishes a day these cover about six hours.
constexpr std::size_t max_verdicts = 4096;

bool is_snapshot(const wire::config_record& record) {
    return record.revision != 0 || record.covers != 0;
}

wire::log_offset number_or_zero(const std::optional<revision>& r) {
    return r ? r->number : 0;
}

/// Parses `text` to a revision. Returns nullopt if `text` is not a valid
/// document.
std::optional<revision> make_revision(wire::log_offset number,
                                      const std::string& text) {
    auto parsed = parse(text);
    auto* content = base::value_if(parsed);
    if (content == nullptr) {
        return std::nullopt;
    }
    return revision{number, text, std::move(*content)};
}

} // namespace

void config_state_machine::apply(wire::log_offset offset,
                                 const wire::config_record& record) {
    if (offset < next_offset_) {
        return;
    }
    next_offset_ = offset + 1;
    if (is_snapshot(record)) {
        apply_snapshot(offset, record);
    } else if (gap_end_) {
        deferred_records_.emplace_back(offset, record);
    } else {
        evaluate_publish(offset, record);
    }
}

void config_state_machine::handle_truncation(wire::log_offset first) {
    if (first <= next_offset_) {
        return;
    }
    // A publish among the dropped records may have been accepted. If later
    // publishes were evaluated against the revision before it, this node would
    // reject publishes that other nodes accept, and would diverge for good.
    if (number_or_zero(accepted_) > number_or_zero(adopted_)) {
        adopted_ = std::move(accepted_);
    }
    accepted_.reset();
    deferred_records_.clear();
    gap_end_ = first;
    next_offset_ = first;
}

void config_state_machine::apply_snapshot(wire::log_offset offset,
                                          const wire::config_record& record) {
    if (record.covers > offset) {
        return;
    }
    if (gap_end_ && record.covers >= *gap_end_) {
        resume_from_snapshot(record);
    }
    if (!gap_end_) {
        snapshot_offset_ = std::max(snapshot_offset_, record.covers);
    }
    if (!record.publish_id.empty()) {
        record_verdict(record.publish_id, publish_verdict::accepted);
    }
}

void config_state_machine::resume_from_snapshot(
    const wire::config_record& snapshot) {
    if (snapshot.revision != 0) {
        accepted_ = make_revision(snapshot.revision, snapshot.document);
        if (!accepted_) {
            return;
        }
        accepted_publish_id_ = snapshot.publish_id;
    }
    gap_end_.reset();
    // Publishes may have been appended after the snapshot was made and before
    // it was appended.
    for (const auto& [offset, record] : std::exchange(deferred_records_, {})) {
        if (offset >= snapshot.covers) {
            evaluate_publish(offset, record);
        }
    }
}

void config_state_machine::evaluate_publish(wire::log_offset offset,
                                            const wire::config_record& record) {
    // An append whose response was lost is retried with the same id. The first
    // record decides; otherwise the operator would see the publish as
    // superseded by its own first copy.
    if (verdicts_.count(record.publish_id) != 0) {
        return;
    }
    if (record.base != number_or_zero(accepted_)) {
        record_verdict(record.publish_id, publish_verdict::superseded);
        return;
    }
    // Offsets start at 0, but revision 0 means none.
    auto accepted = make_revision(offset + 1, record.document);
    if (!accepted) {
        record_verdict(record.publish_id, publish_verdict::invalid);
        return;
    }
    accepted_ = std::move(accepted);
    accepted_publish_id_ = record.publish_id;
    record_verdict(record.publish_id, publish_verdict::accepted);
}

void config_state_machine::record_verdict(const std::string& publish_id,
                                          publish_verdict verdict) {
    if (!verdicts_.emplace(publish_id, verdict).second) {
        return;
    }
    verdict_order_.push_back(publish_id);
    if (verdict_order_.size() > max_verdicts) {
        verdicts_.erase(verdict_order_.front());
        verdict_order_.pop_front();
    }
}

bool config_state_machine::adopt_from_peer(wire::log_offset number,
                                           const std::string& text) {
    const auto* current = in_force();
    if (current != nullptr && current->number >= number) {
        return false;
    }
    auto adopted = make_revision(number, text);
    if (!adopted) {
        return false;
    }
    adopted_ = std::move(adopted);
    return true;
}

const revision* config_state_machine::in_force() const {
    if (number_or_zero(adopted_) > number_or_zero(accepted_)) {
        return &*adopted_;
    }
    return accepted_revision();
}

const revision* config_state_machine::accepted_revision() const {
    return accepted_ ? &*accepted_ : nullptr;
}

wire::config_record config_state_machine::make_snapshot() const {
    wire::config_record record;
    record.covers = next_offset_;
    if (accepted_) {
        record.publish_id = accepted_publish_id_;
        record.document = accepted_->text;
        record.revision = accepted_->number;
    }
    return record;
}

publish_verdict
config_state_machine::verdict(const std::string& publish_id) const {
    const auto it = verdicts_.find(publish_id);
    return it == verdicts_.end() ? publish_verdict::unknown : it->second;
}

} // namespace hibiscus::document
