#pragma once

#include "hibiscus/wire/service.hpp"

#include <cstdint>
#include <vector>

namespace hibiscus::wire {

/// The number of a trainer's weights; a later one is greater.
using weight_version = std::int64_t;
/// The number of a trainer's step.
using step_number = std::int64_t;
/// The place of a sample in its step, counted over all groups from 0.
using slot_index = std::uint32_t;

/// A prompt from which several samples are drawn.
struct prompt_group {
    std::string prompt;
    std::uint32_t samples = 0;
    std::uint32_t max_tokens = 0;
};

/// Opens a step. Opening the same step again changes nothing.
struct step_request {
    weight_version version = 0;
    std::vector<prompt_group> groups;
};

/// The answer to a step_request.
struct step_response {
    outcome result = outcome::unknown;
    reason why = reason::none;
    base::millis retry_after_ms = 0;
    std::uint32_t slots = 0;
};

/// A part of a sample that one weight version produced, as the engine
/// reported it.
struct chunk {
    std::uint32_t seq = 0;
    weight_version version = 0;
    std::string text;
};

/// A finished sample.
struct sample {
    slot_index slot = 0;
    std::uint32_t attempt = 0;
    base::engine_id engine;
    std::vector<chunk> chunks;
};

/// The slots from `first` to `last`, both included.
struct slot_range {
    slot_index first = 0;
    slot_index last = 0;
};

/// Asks for finished samples of a step. The trainer names its newest version
/// and what it has; only other slots are answered.
struct pull_request {
    /// Grows with each pull of the trainer; the trainer takes only the answer
    /// to its latest one.
    std::int64_t pull = 0;
    weight_version version = 0;
    std::vector<slot_range> received;
    std::uint32_t max_samples = 0;
    base::millis wait_ms = 0;
};

/// The answer to a pull_request.
struct pull_response {
    std::int64_t pull = 0;
    outcome result = outcome::unknown;
    reason why = reason::none;
    base::millis retry_after_ms = 0;
    base::node_id node;
    /// The step's slots that are neither received nor in this answer.
    std::uint32_t missing = 0;
    std::vector<sample> samples;
};

/// Tells the system that a trainer's weights are in the weight store.
struct version_request {
    weight_version version = 0;
};

/// The answer to a version_request. `completed` means that no sample older
/// than the bound leaves any entry from now on.
struct version_response {
    outcome result = outcome::unknown;
    reason why = reason::none;
    base::millis retry_after_ms = 0;
    weight_version newest = 0;
};

/// An address that callers may use.
struct entry_address {
    base::node_id node;
    base::zone_id zone;
    std::string address;
};

/// The addresses that callers may use, best first, and for how long.
struct entries_response {
    base::millis ttl_ms = 0;
    std::vector<entry_address> entries;
};

/// The answer to a request that was malformed.
struct problem {
    reason why = reason::invalid_request;
    /// The part of the request that is wrong, for instance "/groups/0/samples".
    std::string where;
    std::string expected;
};

} // namespace hibiscus::wire
