#pragma once

#include "hibiscus/batch/job.hpp"
#include "hibiscus/store/log_store.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// How jobs lie in the store: one key for each fact, so that the newest
/// record of each key is the whole state whatever the order they are read in.
namespace hibiscus::batch {

/// Names the process that runs the jobs of a partition.
struct owner_record {
    base::node_id node;
    /// Differs between two starts of a node.
    std::string incarnation;
    /// True in the record by which an owner that stops hands over.
    bool left = false;
};

/// The keys of a partition.
struct owner_key {};
struct header_key {
    job_id job;
};
struct chunk_key {
    job_id job;
    int chunk = 0;
};
struct result_key {
    job_id job;
    int position = 0;
    int item = 0;
};
struct progress_key {
    job_id job;
    int item = 0;
    int epoch = 0;
    int from = 0;
};
struct end_key {
    job_id job;
};
using record_key = std::variant<owner_key, header_key, chunk_key, result_key,
                                progress_key, end_key>;

/// Returns the text of a key, and the key that a text stands for.
std::string to_text(const record_key& key);
std::optional<record_key> parse_key(const std::string& text);

/// The values. Decoding returns nothing for bytes that are no such value.
std::string encode(const owner_record& value);
std::string encode(const job_header& value);
std::string encode(const std::vector<item>& value);
std::string encode(const item_result& value);
std::string encode(const progress_part& value);
std::optional<owner_record> decode_owner(const std::string& bytes);
std::optional<job_header> decode_header(const std::string& bytes);
std::optional<std::vector<item>> decode_items(const std::string& bytes);
std::optional<item_result> decode_result(const std::string& bytes);
std::optional<progress_part> decode_progress(const std::string& bytes);

/// The size of a record, and of all records of one append, in bytes.
struct record_limits {
    std::size_t record = 262144;
    std::size_t call = 2097152;
};

/// Cuts a job into the appends that store it. The header comes last, so that
/// a job counts only once all its items are there. Sets the header's `chunks`.
/// Returns nothing if an item alone is larger than a record.
std::optional<std::vector<std::vector<store::record>>>
cut_into_appends(job submission, const record_limits& limits);

} // namespace hibiscus::batch
