#pragma once

#include "hibiscus/wire/service.hpp"

#include <cstdint>
#include <vector>

namespace hibiscus::wire {

/// The version number of a trainer's weights. Newer versions are greater.
using weight_version = std::int64_t;
/// The number of a trainer's step.
using step_number = std::int64_t;
/// The index of a sample in its step, counted over all groups from 0.
using slot_index = std::uint32_t;

/// A prompt for which several samples are generated.
struct prompt_group {
    std::string prompt;
    std::uint32_t samples = 0;
    std::uint32_t max_tokens = 0;
};

/// Opens a step. Idempotent: opening the same step again has no effect.
struct step_request {
    weight_version version = 0;
    std::vector<prompt_group> groups;
};

/// The response to a step_request.
struct step_response {
    outcome result = outcome::unknown;
    reason why = reason::none;
    base::millis retry_after_ms = 0;
    /// The number of sample slots of the step.
    std::uint32_t slots = 0;
};

/// A part of a sample that was generated with one weight version.
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

/// The sample slots from `first` to `last`, inclusive.
struct slot_range {
    slot_index first = 0;
    slot_index last = 0;
};

/// Asks for finished samples of a step. The trainer sends its newest weight
/// version and the sample slots that it has received; the response contains
/// other slots only.
struct pull_request {
    /// Increases with each pull of the trainer. The trainer ignores responses
    /// to all but its latest pull.
    std::int64_t pull = 0;
    weight_version version = 0;
    std::vector<slot_range> received;
    std::uint32_t max_samples = 0;
    base::millis wait_ms = 0;
};

/// The response to a pull_request.
struct pull_response {
    std::int64_t pull = 0;
    outcome result = outcome::unknown;
    reason why = reason::none;
    base::millis retry_after_ms = 0;
    base::node_id node;
    /// The number of the step's slots that are neither received nor in this
    /// response.
    std::uint32_t missing = 0;
    std::vector<sample> samples;
};

/// Announces that a version of a trainer's weights is in the weight store.
struct version_request {
    weight_version version = 0;
};

/// The response to a version_request. `completed` means that from now on no
/// entry delivers a sample older than the staleness bound allows.
struct version_response {
    outcome result = outcome::unknown;
    reason why = reason::none;
    base::millis retry_after_ms = 0;
    weight_version newest = 0;
};

/// The address of an entry that callers may use.
struct entry_address {
    base::node_id node;
    base::zone_id zone;
    std::string address;
};

/// The entries that callers may use, best first, and how long the list is
/// valid.
struct entries_response {
    base::millis ttl_ms = 0;
    std::vector<entry_address> entries;
};

/// The body of the response to a malformed request.
struct problem {
    reason why = reason::invalid_request;
    /// The invalid part of the request, for example "/groups/0/samples".
    std::string where;
    std::string expected;
};

} // namespace hibiscus::wire
