#pragma once

#include "hibiscus/document/document.hpp"

#include <string>
#include <vector>

namespace hibiscus::document {

/// How a value differs between two documents.
enum class change_kind {
    added,   ///< Only the later document has it.
    removed, ///< Only the earlier document has it.
    changed  ///< Both documents have it, with different values.
};

/// One value that differs between two documents.
struct change {
    change_kind kind = change_kind::changed;
    /// The path of the value, with row names: "/trainers/tagger/weight".
    std::string path;
    std::string before;
    std::string after;
};

/// Returns the values that differ between two documents, ordered by path. Rows
/// are matched by name, so their order does not matter. An omitted value counts
/// as its default.
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
