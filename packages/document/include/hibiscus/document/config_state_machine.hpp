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

/// The verdict on a publish.
enum class publish_verdict {
    accepted,   ///< It replaced the accepted revision.
    superseded, ///< Its base was not the revision in force.
    invalid,    ///< Its document has errors.
    unknown     ///< Not evaluated yet, or too old to be kept.
};

/// A document that was accepted.
struct revision {
    /// One more than the offset of the record that published the document; 0
    /// means none.
    wire::log_offset number = 0;
    std::string text;
    document content;
};

/// Determines the document in force from the records of the `config` stream.
/// All nodes that apply the same records accept the same documents, so they
/// need no other consensus. A document adopted from a peer is kept separately
/// and does not affect verdicts; of the two, the higher revision is in force.
class config_state_machine {
public:
    /// Applies one record. Call it in the order of the offsets. A record below
    /// next_offset() is ignored.
    void apply(wire::log_offset offset, const wire::config_record& record);

    /// Tells the state machine that retention has dropped the records before
    /// `first`. Call it before applying records at `first` and above. If some
    /// dropped records were not applied, later publishes are evaluated only
    /// after a snapshot provides the accepted revision.
    void handle_truncation(wire::log_offset first);

    /// Skips the record at `offset`, which no node can decode.
    void skip_invalid_record(wire::log_offset offset) {
        next_offset_ = std::max(next_offset_, offset + 1);
    }

    /// Adopts a document that a peer has accepted, if it is valid and newer
    /// than the one in force. Returns true if it was adopted.
    bool adopt_from_peer(wire::log_offset number, const std::string& text);

    /// Returns the revision in force, or null if there is none yet.
    const revision* in_force() const;

    /// Returns false while records are missing that are needed to evaluate
    /// publishes.
    bool is_complete() const { return !gap_end_; }

    /// Returns the last revision accepted from the stream, or null if there is
    /// none. The next publish must have it as its base.
    const revision* accepted_revision() const;

    /// Returns a snapshot record with the accepted document, which replaces the
    /// records before next_offset(). Requires is_complete().
    wire::config_record make_snapshot() const;

    /// Returns the offset after the last record that a snapshot in the stream
    /// covers; 0 if there is no snapshot.
    wire::log_offset snapshot_offset() const { return snapshot_offset_; }

    /// Returns the verdict on the publish `publish_id`; `unknown` if it was not
    /// evaluated or its verdict is no longer kept.
    publish_verdict verdict(const std::string& publish_id) const;

    /// Returns the offset after the last record that was applied.
    wire::log_offset next_offset() const { return next_offset_; }

private:
    void evaluate_publish(wire::log_offset offset,
                          const wire::config_record& record);
    void apply_snapshot(wire::log_offset offset,
                        const wire::config_record& record);
    void resume_from_snapshot(const wire::config_record& snapshot);
    void record_verdict(const std::string& publish_id, publish_verdict verdict);

    std::optional<revision> accepted_;
    std::optional<revision> adopted_;
    std::string accepted_publish_id_;
    std::map<std::string, publish_verdict> verdicts_;
    std::deque<std::string> verdict_order_;
    /// The first offset after the missing records; nullopt if none are missing
    /// or a snapshot has replaced them.
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
