#pragma once

#include "hibiscus/base/enum_names.hpp"

#include <array>
#include <string>
#include <vector>

namespace hibiscus::settings {

/// What is wrong with a settings file.
enum class setting_fault {
    unreadable,  ///< The file cannot be read.
    not_yaml,    ///< The file is not YAML.
    missing,     ///< A key that is needed is not there.
    unknown_key, ///< A key that does not exist.
    wrong_type,  ///< A value of another type was expected.
    out_of_range ///< A number is too small or too large.
};

/// One error of a settings file.
struct setting_error {
    setting_fault fault = setting_fault::unreadable;
    std::string file;
    /// The line, from 1; 0 if it cannot be told.
    int line = 0;
    /// The key with those around it: "listen.callers".
    std::string key;
    std::string expected;
};

/// All errors of a settings file.
using setting_errors = std::vector<setting_error>;

/// Returns an error in one line, for people.
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
