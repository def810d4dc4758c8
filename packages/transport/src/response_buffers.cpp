#include "hibiscus/transport/response_buffers.hpp"

#include <algorithm>

namespace hibiscus::transport {

namespace {

/// The part of the free room that one response may take.
constexpr std::size_t share_divisor = 4;

/// What each response may take in any case, in bytes: one read.
constexpr std::size_t min_share_bytes = 16 * 1024;

} // namespace

bool response_buffers::resize(std::size_t before, std::size_t after) {
    const auto others = held_ - before;
    const auto free = total_ - std::min(total_, others);
    const auto share = std::max(min_share_bytes, free / share_divisor);
    if (after > before && after > share) {
        return false;
    }
    held_ = others + after;
    peak_ = std::max(peak_, held_);
    return true;
}

} // namespace hibiscus::transport
