#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/base/ids.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Batch jobs: many requests for tokens that are accepted at once, run later
/// and read by position.
namespace hibiscus::batch {

/// Names a batch job; a repeated submission carries the same.
using job_id = base::id<struct job_tag>;
/// Names an item; a later job may carry it again.
using item_id = base::id<struct item_tag>;

/// A number of weights, ever higher.
using weight_version = std::int64_t;

/// The call that judges a complete text.
struct reward_call {
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

/// One request for tokens.
struct item {
    item_id id;
    std::string path;
    std::vector<std::pair<std::string, std::string>> header_fields;
    std::string body;
    /// The most tokens that it reads and writes.
    std::int64_t max_total_tokens = 0;
    /// The tokens that it reads.
    std::int64_t prompt_tokens = 0;
    /// The caller's guess of the tokens that will be written; half of the
    /// guesses are too low.
    std::int64_t expected_output_tokens = 0;
    std::string group;
    std::optional<reward_call> reward;
};

/// What is known of a job without its items.
struct job_header {
    job_id id;
    /// The host and path that it was submitted to; they name its route.
    std::string host;
    std::string path;
    std::string model;
    std::int64_t step = 0;
    weight_version min_version = 0;
    int required_groups = 0;
    int item_count = 0;
    /// The number of records that hold the items.
    int chunk_count = 0;
    /// The time of day at its acceptance, in ms since 1970, by the clock of
    /// the node that accepted it. Only a hint: clocks differ and jump.
    base::millis accepted_wall_ms = 0;
};

/// A job as it was submitted.
struct job {
    job_header header;
    std::vector<item> items;
};

/// What became of an item.
enum class item_outcome { succeeded, errored };

/// What a reader gets for an item.
struct item_result {
    item_id id;
    item_outcome outcome = item_outcome::succeeded;
    std::string text;
    std::vector<weight_version> versions;
    std::string score;
};

/// Text that has come since the last saved part.
struct progress_part {
    int item_index = 0;
    /// Grows with each owner and each start at the first event; parts of an
    /// earlier epoch are void, so that a process that no longer is the owner
    /// can't mix its parts with the owner's.
    std::int64_t epoch = 0;
    /// The events before this part, and those in it.
    int first_event = 0;
    int event_count = 0;
    std::string last_event;
    std::string text;
    /// All versions up to the end of this part.
    std::vector<weight_version> versions;
    /// Failed answers so far.
    int failures = 0;
};

} // namespace hibiscus::batch

namespace hibiscus::base {

template <>
struct enum_names<batch::item_outcome> {
    static constexpr std::array<enum_name<batch::item_outcome>, 2> table{{
        {batch::item_outcome::succeeded, "succeeded"},
        {batch::item_outcome::errored, "errored"},
    }};
};

} // namespace hibiscus::base
