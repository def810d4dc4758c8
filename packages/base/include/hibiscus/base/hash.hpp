#pragma once

#include <cstdint>
#include <string_view>

namespace hibiscus::base {

/// Returns a hash of `data` that is the same in every process and release.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

} // namespace hibiscus::base
