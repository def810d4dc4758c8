#pragma once

#include "hibiscus/batch/job.hpp"
#include "hibiscus/samplers/sampler_table.hpp"
#include "hibiscus/store/log_store.hpp"

#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/// The stored form of jobs. One partition, the journal, holds what every node
/// must know: the owner, the jobs, the committed items by position, and which
/// jobs have ended. Large and rarely read data (items, texts, unfinished texts)
/// is stored in other partitions under keys that begin with the job id, and
/// read on demand. With all data in one partition, nine nodes that started
/// together each spent 3.3 s reading 16 MB before one of them could run a job.
namespace hibiscus::batch {

/// Identifies the job owner: the process that runs the jobs.
struct owner_record {
    base::node_id node;
    /// Unique for each start of a node.
    std::string incarnation;
    /// The journal offset of the record with which the owner claimed the lease;
    /// increases with each owner.
    store::log_offset fencing_token = 0;
    /// The number of renewals so far.
    std::int64_t renewals = 0;
    /// True if the owner has handed over the jobs because it stops.
    bool handed_over = false;
};

/// Results that are committed together and become readable at consecutive
/// positions.
struct result_commit {
    struct row {
        int item_index = 0;
        item_outcome outcome = item_outcome::succeeded;
    };
    /// Identifies the record with the texts. Another owner may have stored
    /// texts for the same positions; the name tells the two records apart.
    std::string texts_name;
    std::vector<row> rows;
};

/// Identifies a request over all jobs and owners.
struct request_key {
    std::string workspace;
    std::string request_id;

    bool operator<(const request_key& other) const {
        return std::tie(workspace, request_id) <
               std::tie(other.workspace, other.request_id);
    }
};

/// A process of a backend server, which may start again under its id.
struct server_process {
    samplers::sampler_id server;
    /// Start time in ms since the Unix epoch; 0 if not registered.
    base::millis started_ms = 0;

    bool operator==(const server_process& other) const {
        return server == other.server && started_ms == other.started_ms;
    }
    bool operator<(const server_process& other) const {
        return std::tie(server, started_ms) <
               std::tie(other.server, other.started_ms);
    }
};

/// How far a run has come.
struct run_progress {
    /// Number of events of the text of the request.
    int text_events = 0;
    /// Number of events that the run has received, and how long the server has
    /// had the request, in ms.
    int run_events = 0;
    base::millis run_ms = 0;
};

/// The server processes that ended, or may have ended, while they ran a
/// request.
struct loss_record {
    struct row {
        server_process process;
        /// Whether the process is known to have ended.
        bool ended = false;
        run_progress progress;
        /// False for an announced send that has not ended.
        bool is_progress_known = true;
        /// The service of the server, and how many servers it had; 0 if that is
        /// not known.
        samplers::service_name service = {};
        int server_count = 0;
    };
    request_key request;
    std::vector<row> losses;
    /// Number of further losses that a later run has gone past, and their
    /// processes.
    int cleared_losses = 0;
    std::vector<server_process> cleared_processes = {};
    /// The farthest that any run has come, in each respect.
    run_progress farthest = {};
};

/// The kinds of keys in the journal.
struct owner_key {};
struct header_key {
    job_id job;
    /// Identifies the workspace that submitted the job, as submitter_tag()
    /// does. Two workspaces may submit one id at the same time; their headers
    /// don't replace each other.
    std::string submitter = {};
};
struct commit_key {
    job_id job;
    int position = 0;
};
struct end_key {
    job_id job;
};
/// The key of a loss_record.
struct loss_key {
    /// A hash of the request_key.
    std::string tag;
};
loss_key make_loss_key(const request_key& request);
/// Returns the part of keys that tells submissions of workspaces apart; empty
/// for the empty workspace.
std::string submitter_tag(const std::string& workspace);

using journal_key =
    std::variant<owner_key, header_key, commit_key, end_key, loss_key>;

/// Converts a journal key to text and back. parse_key() returns nothing for a
/// text that is no journal key.
std::string format_key(const journal_key& key);
std::optional<journal_key> parse_key(const std::string& text);

/// Keys of the records that are read on demand. Each begins with job_prefix().
std::string job_prefix(const job_id& job);
std::string chunk_key(const job_id& job, int chunk,
                      const std::string& submitter = "",
                      const std::string& items_name = "");
std::string texts_key(const job_id& job, int position,
                      const std::string& texts_name);
/// Returns a key that sorts directly before the key of these texts. Other texts
/// may be stored at the same position, from appends whose responses were lost
/// and which were never committed. A read that starts at the position alone
/// could fill its response with those before it reaches the requested texts.
std::string key_before_texts(const job_id& job, int position,
                             const std::string& texts_name);
std::string progress_key(const job_id& job, const progress_part& part);

/// Encodes and decodes the values. The decoders return nothing if the bytes
/// don't hold a value of that type.
std::string encode(const owner_record& value);
std::string encode(const job_header& value);
std::string encode(const result_commit& value);
std::string encode(const loss_record& value);
std::string encode(const std::vector<item>& value);
std::string encode(const std::vector<item_result>& value);
std::string encode(const progress_part& value);
std::optional<owner_record> decode_owner(const std::string& bytes);
std::optional<job_header> decode_header(const std::string& bytes);
std::optional<result_commit> decode_commit(const std::string& bytes);
std::optional<loss_record> decode_losses(const std::string& bytes);
std::optional<std::vector<item>> decode_items(const std::string& bytes);
std::optional<std::vector<item_result>>
decode_results(const std::string& bytes);
std::optional<progress_part> decode_progress(const std::string& bytes);

/// Returns those of the records with items of a job that its header refers to,
/// in key order.
std::vector<store::record>
select_item_records(std::vector<store::record> records,
                    const job_header& header);

/// Splits the items of a job into records of at most about `max_record_bytes`
/// and sets the number of these chunks in `header`. An item that is larger gets
/// a record of its own, which the store splits into value chunks.
std::vector<store::record> split_into_chunks(job_header& header,
                                             std::vector<item> items,
                                             std::size_t max_record_bytes);

/// The saved text from which an item resumes after a takeover.
struct recovered_text {
    int event_count = 0;
    std::string last_event;
    std::string text;
    std::vector<weight_version> versions;
    int failures = 0;
};

/// Joins the saved parts of an item: the contiguous parts of its newest epoch,
/// starting at the first event. The text ends at the first gap.
recovered_text join_progress_parts(std::vector<progress_part> parts);

} // namespace hibiscus::batch
