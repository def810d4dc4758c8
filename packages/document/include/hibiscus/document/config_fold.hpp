#pragma once

#include "hibiscus/document/parse.hpp"
#include "hibiscus/wire/platform.hpp"

#include <map>
#include <optional>

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
/// same document in force, so no other agreement is needed.
class config_fold {
public:
    /// Applies one record. Records are applied in the order of their offsets;
    /// a record at or before the last one is skipped.
    void apply(wire::log_offset offset, const wire::config_record& record);

    /// Takes over a document that a peer has accepted. Returns true if it is
    /// newer than the one in force; an older one changes nothing.
    bool adopt(wire::log_offset number, const std::string& text);

    /// Returns the document in force, or null before the first.
    const revision* in_force() const;

    /// Returns what became of the publish `publish_id`.
    publish_verdict verdict(const std::string& publish_id) const;

    /// Returns the offset after the last record that was applied.
    wire::log_offset next() const { return next_; }

private:
    publish_verdict judge(wire::log_offset offset,
                          const wire::config_record& record);

    std::optional<revision> in_force_;
    std::map<std::string, publish_verdict> verdicts_;
    wire::log_offset next_ = 0;
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
