#pragma once

#include "hibiscus/wire/samples.hpp"

#include <algorithm>

namespace hibiscus::cluster {

/// Takes the samples out of an answer that are more than `bound` versions
/// behind `newest`. An entry does this last: the answer of a trainer's home
/// may have been on its way while a version was published and acknowledged.
inline void drop_stale_samples(wire::pull_response& answer,
                               wire::weight_version newest, int bound) {
    const auto stale = [&](const wire::sample& s) {
        return std::any_of(
            s.chunks.begin(), s.chunks.end(),
            [&](const wire::chunk& c) { return c.version < newest - bound; });
    };
    const auto first =
        std::remove_if(answer.samples.begin(), answer.samples.end(), stale);
    answer.missing +=
        static_cast<std::uint32_t>(std::distance(first, answer.samples.end()));
    answer.samples.erase(first, answer.samples.end());
}

} // namespace hibiscus::cluster
