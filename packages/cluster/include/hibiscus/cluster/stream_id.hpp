#pragma once

#include "hibiscus/wire/engine.hpp"

#include <optional>

namespace hibiscus::cluster {

/// The parts of a stream id.
struct stream_id_parts {
    base::trainer_id trainer;
    wire::step_number step = 0;
    wire::slot_index slot = 0;
    std::uint32_t attempt = 0;
};

/// Returns the id of the stream that generates a sample slot. The id depends
/// only on the arguments, so a new home node finds the streams that the
/// previous one started.
base::stream_id make_stream_id(const base::trainer_id& trainer,
                               wire::step_number step, wire::slot_index slot,
                               std::uint32_t attempt);

/// Returns the parts of an id made by make_stream_id(), or nothing for any
/// other text.
std::optional<stream_id_parts> parse_stream_id(const base::stream_id& id);

} // namespace hibiscus::cluster
