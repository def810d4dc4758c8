#pragma once

#include "hibiscus/base/result.hpp"
#include "hibiscus/document/document.hpp"

#include <string_view>

namespace hibiscus::document {

/// The kind of an error in a document.
enum class parse_error_kind {
    not_json,       ///< The text is not JSON.
    unknown_schema, ///< The schema version is newer than this program supports.
    wrong_type,     ///< The value has the wrong type or length.
    out_of_range,   ///< The number is too small or too large.
    missing,        ///< A required key is missing.
    unknown_key,    ///< The schema has no such key.
    unknown_name,   ///< No row or enumerator has this name.
    repeated_name   ///< An earlier row has the same name.
};

/// One error of a document.
struct parse_error {
    parse_error_kind kind = parse_error_kind::not_json;
    /// The location, as a JSON pointer: "/trainers/0/pool".
    std::string path;
    std::string expected;
};

/// All errors of a document. Errors in values come first, in document order,
/// then errors in names.
using parse_errors = std::vector<parse_error>;

/// Parses the JSON `text`. Returns the document, or all of its errors.
base::result<document, parse_errors> parse(std::string_view text);

} // namespace hibiscus::document

namespace hibiscus::base {

template <>
struct enum_names<document::parse_error_kind> {
    static constexpr std::array<enum_name<document::parse_error_kind>, 8> table{
        {
            {document::parse_error_kind::not_json, "not_json"},
            {document::parse_error_kind::unknown_schema, "unknown_schema"},
            {document::parse_error_kind::wrong_type, "wrong_type"},
            {document::parse_error_kind::out_of_range, "out_of_range"},
            {document::parse_error_kind::missing, "missing"},
            {document::parse_error_kind::unknown_key, "unknown_key"},
            {document::parse_error_kind::unknown_name, "unknown_name"},
            {document::parse_error_kind::repeated_name, "repeated_name"},
        }};
};

} // namespace hibiscus::base
