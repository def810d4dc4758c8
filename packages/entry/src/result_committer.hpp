#pragma once

#include "job_store.hpp"
#include "node_state.hpp"

#include "hibiscus/batch/pending_commits.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hibiscus::entry {

/// Commits results of jobs: stores their texts under keys that nobody else
/// uses, and then appends their positions to the journal. What fails is tried
/// again as it was planned, so that the store gets the texts of a result once,
/// however long the journal rejects appends.
class result_committer {
public:
    /// The access to the journal of a job owner.
    struct journal_access {
        /// Returns whether this node is the owner and can append now.
        std::function<bool()> may_append;
        /// Appends records on the condition that this node is still the owner.
        /// Calls `done` with whether they were stored.
        std::function<void(std::vector<store::record> records,
                           std::function<void(bool)> done)>
            append;
    };

    /// `incarnation` is unique for each start of a node.
    result_committer(node_state& state, const job_store& stored_jobs,
                     std::string incarnation, journal_access journal)
        : state_(state), job_store_(stored_jobs),
          incarnation_(std::move(incarnation)), journal_(std::move(journal)) {}

    /// Returns true while an attempt is in progress.
    bool is_busy() const { return busy_; }

    /// Drops the commits that the journal has settled. Returns the jobs whose
    /// texts could not be stored. Their results should be left out, since they
    /// would take the room of those of other jobs.
    std::set<batch::job_id> update();

    /// Plans commits of the results that have none and attempts all pending
    /// ones. Returns false if there is nothing to attempt now. Must not be
    /// called while an attempt is in progress.
    bool attempt(std::vector<batch::ready_result> results);

    /// Forgets all pending commits. Called when this node is no longer the
    /// owner.
    void clear();

private:
    std::set<batch::job_id> jobs_to_retry_later();
    void store_texts(std::vector<batch::planned_commit> commits);
    void on_texts_stored(const std::set<batch::job_id>& failed);
    void append_commits();
    void log_listed(const std::vector<batch::planned_commit>& commits);

    node_state& state_;
    const job_store& job_store_;
    std::string incarnation_;
    journal_access journal_;
    batch::pending_commits pending_;
    /// When to try again to store the texts of jobs for which that failed.
    std::map<batch::job_id, base::millis> texts_retry_at_;
    std::uint64_t last_texts_record_number_ = 0;
    base::millis started_at_ = 0;
    bool busy_ = false;
};

} // namespace hibiscus::entry
