#pragma once

#include "hibiscus/batch/records.hpp"
#include "hibiscus/store/partition_watcher.hpp"

#include <map>
#include <optional>
#include <set>

namespace hibiscus::batch {

/// A job as recorded in the journal.
struct job_row {
    /// The header that was stored first, if several workspaces have submitted
    /// the id.
    std::optional<job_header> header;
    /// The submitter in the key of the header, and the header's offset.
    std::string submitter;
    store::log_offset header_offset = 0;
    /// The submitters of other headers that are in the journal.
    std::set<std::string> rejected_submitters;
    /// Committed results by the position of their first row.
    std::map<int, result_commit> commits;
    /// Indices of the committed items.
    std::set<int> committed_items;
    bool has_ended = false;
    /// When this process first saw the job.
    base::millis first_seen_at = 0;

    /// Returns the position after the last committed result.
    int next_position() const;
};

/// The owner, and when this process last saw a renewal of its lease.
struct owner_row {
    owner_record record;
    base::millis last_seen_at = 0;
};

/// A view of all jobs, built from the records of the journal. Every process
/// that reads the journal builds the same view.
class job_table {
public:
    explicit job_table(base::clock clock) : clock_(std::move(clock)) {}

    /// Applies a change of the journal. Returns the job that the change
    /// concerns, or nothing if it concerns no job or its key can't be parsed.
    std::optional<job_id> apply(const store::change& change);

    /// Returns a job, or null if the journal holds no readable header of it.
    const job_row* find(const job_id& id) const;

    const std::map<job_id, job_row>& jobs() const { return jobs_; }

    const std::optional<owner_row>& owner() const { return owner_; }

    /// Returns the records of server processes that ended under a request, by
    /// the tag of their keys.
    const std::map<std::string, loss_record>& losses() const { return losses_; }

    /// Returns the number of records that were skipped because they could not
    /// be decoded.
    std::uint64_t unreadable_records() const { return unreadable_records_; }

private:
    void apply_value(const journal_key& key, const store::change& change);
    void apply_header(const header_key& key, const store::change& change);
    void apply_erasure(const journal_key& key);
    job_row& find_or_add(const job_id& id);

    base::clock clock_;
    std::map<job_id, job_row> jobs_;
    std::optional<owner_row> owner_;
    std::map<std::string, loss_record> losses_;
    std::uint64_t unreadable_records_ = 0;
};

} // namespace hibiscus::batch
