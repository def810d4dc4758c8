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

/// Batch jobs: many text-generation requests that are accepted together and run
/// later, and whose results are read by position.
namespace hibiscus::batch {

/// Identifies a batch job; a retried submission carries the same id.
using job_id = base::id<struct job_tag>;
/// Identifies an item; a later job may resubmit it.
using item_id = base::id<struct item_tag>;

/// Version number of a model's weights; increases with each new version.
using weight_version = std::int64_t;

/// The call that computes the score of a complete text.
struct reward_call {
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

/// One text-generation request of a job.
struct item {
    item_id id;
    std::string path;
    std::vector<std::pair<std::string, std::string>> header_fields;
    std::string body;
    /// Upper bound on the sum of prompt and output tokens.
    std::int64_t max_total_tokens = 0;
    std::int64_t prompt_tokens = 0;
    /// The caller's estimate of the output tokens; half of these estimates are
    /// too low.
    std::int64_t expected_output_tokens = 0;
    std::string group;
    std::optional<reward_call> reward;
};

/// The description of a job without its items.
struct job_header {
    job_id id;
    /// The host and path of the submission; they select the route.
    std::string host;
    std::string path;
    /// The workspace that submitted the job; empty if the submission needed no
    /// API key.
    std::string workspace;
    std::string model;
    std::int64_t step = 0;
    weight_version min_version = 0;
    int required_groups = 0;
    int item_count = 0;
    /// The number of records that hold the job's items.
    int chunk_count = 0;
    /// Tells these records apart from those of other submissions of the job.
    /// Empty for a job that an earlier release has stored.
    std::string items_name;
    /// Wall-clock time of the acceptance, in ms since 1970, by the clock of the
    /// node that accepted the job. Only a hint: clocks differ between nodes and
    /// may jump.
    base::millis accepted_wall_ms = 0;
};

struct job {
    job_header header;
    std::vector<item> items;
};

/// Which jobs a caller may read and end.
struct job_access {
    /// The workspace of the caller, empty for a caller without an API key. Not
    /// set if the configuration defines no workspaces.
    std::optional<std::string> workspace;

    /// Returns true if the caller may access the job. A job without a workspace
    /// is open to all callers.
    bool includes(const job_header& job) const {
        return !workspace || job.workspace.empty() ||
               job.workspace == *workspace;
    }
};

/// The final outcome of an item.
enum class item_outcome { succeeded, errored };

/// The result of an item as readers receive it.
struct item_result {
    item_id id;
    item_outcome outcome = item_outcome::succeeded;
    std::string text;
    std::vector<weight_version> versions;
    std::string score;
};

/// A part of an item's text, saved while the item runs.
struct progress_part {
    int item_index = 0;
    /// Increases with each owner and whenever the text restarts at its first
    /// event. Parts of an earlier epoch are ignored, so that parts written by a
    /// former owner are never mixed with those of the current one.
    std::int64_t epoch = 0;
    /// The number of events before this part.
    int first_event = 0;
    int event_count = 0;
    std::string last_event;
    std::string text;
    /// All weight versions used up to the end of this part.
    std::vector<weight_version> versions;
    /// The number of failed runs of the item so far.
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
