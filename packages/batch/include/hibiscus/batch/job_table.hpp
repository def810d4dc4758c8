#pragma once

#include "hibiscus/batch/records.hpp"
#include "hibiscus/store/partition_watcher.hpp"

#include <map>
#include <optional>
#include <set>

namespace hibiscus::batch {

/// A job as the journal has it.
struct job_row {
    std::optional<job_header> header;
    /// What is listed, by the position of its first row.
    std::map<int, result_commit> commits;
    /// The numbers of the listed items.
    std::set<int> committed_items;
    bool has_ended = false;
    /// When this process first saw the job.
    base::millis first_seen_at = 0;

    /// Returns the position behind the last listed one.
    int next_position() const;
};

/// The owner, and when this process last saw it renew its record.
struct owner_row {
    owner_record record;
    base::millis last_seen_at = 0;
};

/// All jobs, folded from the records of the journal. Every process that reads
/// the journal comes to the same ledger.
class job_table {
public:
    explicit job_table(base::clock clock) : clock_(std::move(clock)) {}

    /// Takes in a change. Returns the job that it concerns, or nothing if it
    /// concerns none or can't be read.
    std::optional<job_id> apply(const store::change& c);

    /// Returns a job, or null if it was never accepted.
    const job_row* find(const job_id& id) const;

    const std::map<job_id, job_row>& jobs() const { return jobs_; }

    const std::optional<owner_row>& owner() const { return owner_; }

    /// Returns how many records were skipped because they can't be read.
    std::uint64_t unreadable_records() const { return unreadable_records_; }

private:
    void apply_value(const journal_key& key, const std::string& value);
    void apply_erasure(const journal_key& key);
    job_row& find_or_add(const job_id& id);

    base::clock clock_;
    std::map<job_id, job_row> jobs_;
    std::optional<owner_row> owner_;
    std::uint64_t unreadable_records_ = 0;
};

} // namespace hibiscus::batch
