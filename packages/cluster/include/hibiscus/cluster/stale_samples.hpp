#pragma once

#include "hibiscus/wire/samples.hpp"

#include <algorithm>

namespace hibiscus::cluster {

/// Removes the samples that are more than `bound` versions behind `newest` from
/// a response and counts them as missing. Entry nodes must call this last,
/// because a version may have been published and acknowledged while the
/// response of the trainer's home node was in flight.
inline void drop_stale_samples(wire::pull_response& response,
                               wire::weight_version newest,
                               int staleness_bound) {
    const auto stale = [&](const wire::sample& s) {
        return std::any_of(s.chunks.begin(), s.chunks.end(),
                           [&](const wire::chunk& c) {
                               return c.version < newest - staleness_bound;
                           });
    };
    const auto first =
        std::remove_if(response.samples.begin(), response.samples.end(), stale);
    response.missing += static_cast<std::uint32_t>(
        std::distance(first, response.samples.end()));
    response.samples.erase(first, response.samples.end());
}

} // namespace hibiscus::cluster
