#pragma once

#include "hibiscus/document/document.hpp"

#include <string>
#include <vector>

namespace hibiscus::document {

/// How a value differs between two documents.
enum class change_kind {
    added,   ///< Only the later document has it.
    removed, ///< Only the earlier document has it.
    changed  ///< Both have it, with other values.
};

/// One value that differs between two documents.
struct change {
    change_kind kind = change_kind::changed;
    /// Where, by name: "/trainers/tagger/weight".
    std::string path;
    std::string before;
    std::string after;
};

/// Returns what differs between two documents, ordered by path. Rows are told
/// apart by their names, so their order does not matter; a value that is left
/// out counts as its default.
std::vector<change> diff(const document& before, const document& after);

} // namespace hibiscus::document

namespace hibiscus::base {

template <>
struct enum_names<document::change_kind> {
    static constexpr std::array<enum_name<document::change_kind>, 3> table{{
        {document::change_kind::added, "added"},
        {document::change_kind::removed, "removed"},
        {document::change_kind::changed, "changed"},
    }};
};

} // namespace hibiscus::base
