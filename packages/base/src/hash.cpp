#include "hibiscus/base/hash.hpp"

#include <xxhash.h>

namespace hibiscus::base {

std::uint64_t stable_hash(std::string_view data, std::uint64_t seed) {
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

} // namespace hibiscus::base
