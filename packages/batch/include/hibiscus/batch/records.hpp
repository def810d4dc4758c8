#pragma once

#include "hibiscus/batch/job.hpp"
#include "hibiscus/store/log_store.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// How jobs lie in the store. One partition, the journal, holds what every
/// node must know: who owns it, which jobs there are, which of their items
/// are listed where, and which jobs have ended. What is large and seldom
/// asked for (items, texts, texts under way) lies under keys of its own that
/// begin with the job, and is read when it is needed: with all in one
/// partition, nine nodes that started at once spent 3.3 s on reading 16 MB
/// each before one of them could run a job.
namespace hibiscus::batch {

/// Names the process that runs the jobs.
struct owner_record {
    base::node_id node;
    /// Differs between two starts of a node.
    std::string incarnation;
    /// The place of the record by which it took over; grows with each owner.
    store::log_offset fencing_token = 0;
    /// Counts its renewals.
    std::int64_t renewals = 0;
    /// True in the record by which an owner that stops hands over.
    bool handed_over = false;
};

/// Items that became readable together, from a position on.
struct result_commit {
    struct row {
        int item_index = 0;
        item_outcome outcome = item_outcome::succeeded;
    };
    /// Names the record with the texts, so that one by another owner for the
    /// same positions is never taken for it.
    std::string texts_name;
    std::vector<row> rows;
};

/// The keys of the journal.
struct owner_key {};
struct header_key {
    job_id job;
};
struct commit_key {
    job_id job;
    int position = 0;
};
struct end_key {
    job_id job;
};
using journal_key = std::variant<owner_key, header_key, commit_key, end_key>;

/// Returns the text of a key, and the key that a text stands for.
std::string format_key(const journal_key& key);
std::optional<journal_key> parse_key(const std::string& text);

/// The keys of what is read on demand. Each begins with job_prefix().
std::string job_prefix(const job_id& job);
std::string chunk_key(const job_id& job, int chunk);
std::string texts_key(const job_id& job, int position,
                      const std::string& texts);
/// Returns a key directly before the one of these texts. Others may stand at
/// the same position: those of appends whose answers were lost, which were
/// never listed. Read from the position on, they would fill the answer before
/// the texts that are asked for come.
std::string key_before_texts(const job_id& job, int position,
                             const std::string& texts);
std::string progress_key(const job_id& job, const progress_part& part);

/// The values. Decoding returns nothing for bytes that are no such value.
std::string encode(const owner_record& value);
std::string encode(const job_header& value);
std::string encode(const result_commit& value);
std::string encode(const std::vector<item>& value);
std::string encode(const std::vector<item_result>& value);
std::string encode(const progress_part& value);
std::optional<owner_record> decode_owner(const std::string& bytes);
std::optional<job_header> decode_header(const std::string& bytes);
std::optional<result_commit> decode_commit(const std::string& bytes);
std::optional<std::vector<item>> decode_items(const std::string& bytes);
std::optional<std::vector<item_result>>
decode_results(const std::string& bytes);
std::optional<progress_part> decode_progress(const std::string& bytes);

/// Cuts the items of a job into records of about `record_bytes`, and sets the
/// number of these chunks in `header`. An item that is larger alone gets a
/// record of its own, which the store takes in pieces.
std::vector<store::record> split_into_chunks(job_header& header,
                                             std::vector<item> items,
                                             std::size_t record_bytes);

/// Text that a takeover can go on from.
struct recovered_text {
    int event_count = 0;
    std::string last_event;
    std::string text;
    std::vector<weight_version> versions;
    int failures = 0;
};

/// Joins the saved parts of an item: those of its newest epoch that follow on
/// each other from the first event. A gap ends the text.
recovered_text join_progress_parts(std::vector<progress_part> parts);

} // namespace hibiscus::batch
