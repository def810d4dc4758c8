#pragma once

#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

namespace hibiscus::base {

/// One enumerator and its name.
template <class E>
struct enum_name {
    E value;
    std::string_view name;
};

/// Maps the enumerators of E to their names in logs, metrics and messages.
/// Specializations provide a member `table`, an array of enum_name<E>.
template <class E>
struct enum_names;

/// True if enum_names is specialized for E.
template <class E, class = void>
struct has_enum_names : std::false_type {};

template <class E>
struct has_enum_names<E, std::void_t<decltype(enum_names<E>::table)>>
    : std::true_type {};

/// Returns the name of `value`, or "invalid" if the table does not contain it.
template <class E>
constexpr std::string_view name_of(E value) {
    for (const auto& row : enum_names<E>::table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "invalid";
}

/// Returns the enumerator named `name`, or nothing if there is none.
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
