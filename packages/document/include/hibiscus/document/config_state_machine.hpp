#pragma once

#include "hibiscus/document/parse.hpp"
#include "hibiscus/wire/platform.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::document {

/// What the fold made of a publish.
enum class publish_verdict {
    accepted,   ///< It is or was in force.
    superseded, ///< Its base was not the revision in force.
    invalid,    ///< Its document has errors.
    unknown     ///< No record of it has been read.
};

/// The document in force.
struct revision {
    /// The offset of the record that first carried the document.
    wire::log_offset number = 0;
    std::string text;
    document content;
};

/// Folds the `config` stream. All nodes that fold the same records have the
/// same document in force, so no other agreement is needed. What a peer hands
/// over is kept apart from the fold; the higher revision of the two counts.
class config_state_machine {
public:
    /// Applies one record. Records are applied in the order of their offsets;
    /// a record at or before the last one is skipped.
    void apply(wire::log_offset offset, const wire::config_record& record);

    /// Notes that retention dropped the records before `first`. If some of
    /// them were not applied, what follows is judged only once a repeated
    /// record tells which revision it builds on.
    void handle_truncation(wire::log_offset first);

    /// Passes over the record at `offset`, which no node can read.
    void skip_invalid_record(wire::log_offset offset) {
        next_offset_ = std::max(next_offset_, offset + 1);
    }

    /// Takes over a document that a peer has accepted. Returns true if it is
    /// newer than the one in force; an older one changes nothing.
    bool adopt_from_peer(wire::log_offset number, const std::string& text);

    /// Returns the document in force, or null before the first.
    const revision* in_force() const;

    /// Returns true unless records are missing that decide what is accepted.
    bool is_complete() const { return !gap_end_; }

    /// Returns the revision that the stream has accepted, or null before the
    /// first. The next publish must name it as its base.
    const revision* accepted_revision() const;

    /// Returns the record that repeats the accepted document, so that the
    /// records before next() are not needed any more. Only if complete().
    wire::config_record make_snapshot() const;

    /// Returns the offset from which on the stream explains itself, 0 if only
    /// from its start.
    wire::log_offset snapshot_offset() const { return snapshot_offset_; }

    /// Returns what became of the publish `publish_id`.
    publish_verdict verdict(const std::string& publish_id) const;

    /// Returns the offset after the last record that was applied.
    wire::log_offset next_offset() const { return next_offset_; }

private:
    void evaluate_publish(wire::log_offset offset,
                          const wire::config_record& record);
    void apply_snapshot(wire::log_offset offset,
                        const wire::config_record& record);
    void resume_from_snapshot(const wire::config_record& repeat);
    void record_verdict(const std::string& publish_id, publish_verdict verdict);

    std::optional<revision> accepted_;
    std::optional<revision> adopted_;
    std::string accepted_publish_id_;
    std::map<std::string, publish_verdict> verdicts_;
    std::deque<std::string> verdict_order_;
    /// The first offset after the records that are missing.
    std::optional<wire::log_offset> gap_end_;
    std::vector<std::pair<wire::log_offset, wire::config_record>>
        deferred_records_;
    wire::log_offset snapshot_offset_ = 0;
    wire::log_offset next_offset_ = 0;
};

} // namespace hibiscus::document

namespace hibiscus::base {

template <>
struct enum_names<document::publish_verdict> {
    static constexpr std::array<enum_name<document::publish_verdict>, 4> table{{
        {document::publish_verdict::accepted, "accepted"},
        {document::publish_verdict::superseded, "superseded"},
        {document::publish_verdict::invalid, "invalid"},
        {document::publish_verdict::unknown, "unknown"},
    }};
};

} // namespace hibiscus::base
