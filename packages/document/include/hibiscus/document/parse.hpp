#pragma once

#include "hibiscus/base/result.hpp"
#include "hibiscus/document/document.hpp"

#include <string_view>

namespace hibiscus::document {

/// What is wrong with a part of a document.
enum class parse_error_kind {
    not_json,       ///< The text is not JSON.
    unknown_schema, ///< The schema is newer than this program.
    wrong_type,     ///< A value of another type was expected.
    out_of_range,   ///< A number is too small or too large.
    missing,        ///< A key that is needed is not there.
    unknown_key,    ///< A key that the schema does not have.
    unknown_name,   ///< A name that refers to nothing.
    repeated_name   ///< A name that an entry before has.
};

/// One error of a document.
struct parse_error {
    parse_error_kind kind = parse_error_kind::not_json;
    /// Where, as a JSON pointer: "/trainers/0/pool".
    std::string path;
    std::string expected;
};

/// All errors of a document, in its order.
using parse_errors = std::vector<parse_error>;

/// Returns the document in the JSON `text`, or all of its errors.
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
