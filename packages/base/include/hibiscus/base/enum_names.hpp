#pragma once

#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

namespace hibiscus::base {

/// One row of an enumeration's table of names.
template <class E>
struct enum_name {
    E value;
    std::string_view name;
};

/// The table of names of the enumeration E. An enumeration that is logged,
/// counted or sent specialises it with a member `table`, an array of
/// enum_name<E>.
template <class E>
struct enum_names;

/// True if E has a table of names.
template <class E, class = void>
struct has_enum_names : std::false_type {};

template <class E>
struct has_enum_names<E, std::void_t<decltype(enum_names<E>::table)>>
    : std::true_type {};

/// Returns the name of `value`, or "invalid" if the table lacks it.
template <class E>
constexpr std::string_view name_of(E value) {
    for (const auto& row : enum_names<E>::table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "invalid";
}

/// Returns the value that is called `name`, or nothing.
template <class E>
constexpr std::optional<E> from_name(std::string_view name) {
    for (const auto& row : enum_names<E>::table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace hibiscus::base
