#pragma once

#include "hibiscus/base/enum_names.hpp"

#include <array>
#include <string>
#include <vector>

namespace hibiscus::settings {

/// The kind of an error in a settings file.
enum class setting_fault {
    unreadable,  ///< The file cannot be read.
    not_yaml,    ///< The file is not valid YAML.
    missing,     ///< A required key is missing.
    unknown_key, ///< The key is not a known setting.
    wrong_type,  ///< The value has the wrong type or is not allowed.
    out_of_range ///< The number is too small or too large.
};

/// An error in a settings file.
struct setting_error {
    setting_fault fault = setting_fault::unreadable;
    std::string file;
    /// The line number, starting at 1, or 0 if it is unknown.
    int line = 0;
    /// The full path of the key, such as "listen.callers".
    std::string key;
    /// What was expected, such as "a mapping" or "one of a b".
    std::string expected;
};

/// All errors in a settings file.
using setting_errors = std::vector<setting_error>;

/// Formats an error as one human-readable line.
std::string to_string(const setting_error& error);

} // namespace hibiscus::settings

namespace hibiscus::base {

template <>
struct enum_names<settings::setting_fault> {
    static constexpr std::array<enum_name<settings::setting_fault>, 6> table{{
        {settings::setting_fault::unreadable, "unreadable"},
        {settings::setting_fault::not_yaml, "not_yaml"},
        {settings::setting_fault::missing, "missing"},
        {settings::setting_fault::unknown_key, "unknown_key"},
        {settings::setting_fault::wrong_type, "wrong_type"},
        {settings::setting_fault::out_of_range, "out_of_range"},
    }};
};

} // namespace hibiscus::base
