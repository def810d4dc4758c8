#pragma once

#include <variant>

namespace hibiscus::base {

/// Either a value of type T or one of the errors Es. The value is always the
/// first alternative.
template <class T, class... Es>
using result = std::variant<T, Es...>;

/// Returns the value in `r`, or nullptr if `r` holds an error.
template <class T, class... Es>
T* value_if(std::variant<T, Es...>& r) {
    return std::get_if<0>(&r);
}

/// Returns the value in `r`, or nullptr if `r` holds an error.
template <class T, class... Es>
const T* value_if(const std::variant<T, Es...>& r) {
    return std::get_if<0>(&r);
}

/// A visitor for std::visit() that combines one lambda for each alternative of
/// a variant.
template <class... Fs>
struct overloaded : Fs... {
    using Fs::operator()...;
};

template <class... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

} // namespace hibiscus::base
