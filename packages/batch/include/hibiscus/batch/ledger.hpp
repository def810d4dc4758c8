#pragma once

#include "hibiscus/batch/records.hpp"
#include "hibiscus/store/follower.hpp"

#include <map>
#include <optional>
#include <vector>

namespace hibiscus::batch {

/// A job as the store has it.
struct job_row {
    std::optional<job_header> header;
    /// The encoded items, by chunk.
    std::map<int, std::string> chunks;
    /// The encoded results, by position.
    std::map<int, std::string> results;
    /// The position of each listed item, by its number in the job.
    std::map<int, int> listed;
    /// Saved parts of texts, by item, epoch and first event.
    std::map<int, std::map<std::pair<int, int>, std::string>> progress;
    bool ended = false;
    /// When this process first saw the job.
    base::millis seen_at = 0;

    /// True once the header and all items are there.
    bool complete() const {
        return header && static_cast<int>(chunks.size()) >= header->chunks;
    }
};

/// The owner of a partition and the place of the record that says so. The
/// place grows with each change of owner, which makes it a fencing token.
struct owner_row {
    owner_record record;
    store::log_offset at = 0;
};

/// All jobs of a partition, folded from its records. Every process that reads
/// the partition comes to the same ledger.
class ledger {
public:
    explicit ledger(base::clock clock) : clock_(std::move(clock)) {}

    /// Takes in a change. Returns the job that it concerns, or nothing if it
    /// concerns none or can't be read.
    std::optional<job_id> apply(const store::change& c);

    /// Returns a job with its header, or null.
    const job_row* find(const job_id& id) const;

    const std::map<job_id, job_row>& jobs() const { return jobs_; }

    const std::optional<owner_row>& owner() const { return owner_; }

    /// Returns how many records were skipped because they can't be read.
    std::uint64_t unreadable() const { return unreadable_; }

private:
    void put(const record_key& key, const store::change& c);
    void erase(const record_key& key);

    base::clock clock_;
    std::map<job_id, job_row> jobs_;
    std::optional<owner_row> owner_;
    std::uint64_t unreadable_ = 0;
};

/// Returns the item numbered `number` of a job, or nothing.
std::optional<item> find_item(const job_row& row, const item_id& id,
                              int* number = nullptr);

/// Returns all items of a job in the order of their submission.
std::vector<item> all_items(const job_row& row);

/// Text that a takeover can go on from.
struct saved_text {
    int epoch = 0;
    int events = 0;
    std::string last_event;
    std::string text;
    std::vector<weight_version> versions;
    int failures = 0;
};

/// Joins the saved parts of an item: those of its newest epoch that follow on
/// each other from the first event. A gap ends the text.
saved_text join_parts(
    const std::map<std::pair<int, int>, std::string>& parts);

} // namespace hibiscus::batch
