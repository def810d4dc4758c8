#pragma once

#include "hibiscus/batch/commit_plan.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace hibiscus::batch {

/// Planned commits that are not known to be in the journal yet. A commit keeps
/// the position and the texts name that it was planned with, so that a repeated
/// attempt writes the same records under the same keys, and texts that are
/// stored already are not stored again. An earlier attempt whose outcome is
/// unknown may then take effect at any time without harm.
class pending_commits {
public:
    /// Plans commits of the results that have none, as plan_commits() does,
    /// after the pending ones of their jobs.
    void add(const job_table& jobs, std::vector<ready_result> results,
             std::size_t max_record_bytes,
             const std::function<std::string()>& make_name);

    /// Drops the commits that are in the journal and all commits of jobs that
    /// have ended. Drops the remaining commits of a job that no longer continue
    /// after its committed positions, because another owner has committed
    /// results. Returns the jobs of these.
    std::set<job_id> update(const job_table& jobs);

    /// Returns the jobs with texts that are not stored.
    std::set<job_id> unstored_jobs() const;

    /// Returns the commits whose texts are not stored, except those of
    /// `excluded_jobs`.
    std::vector<planned_commit>
    unstored(const std::set<job_id>& excluded_jobs) const;

    /// Called when the store has the texts of a commit under their key.
    void on_texts_stored(const std::string& texts_key);

    /// Returns the commits that may be appended to the journal, without their
    /// texts: those of each job up to the first one whose texts are not stored.
    /// The store may reject single partitions, and a job whose texts are in
    /// such a partition must not delay others.
    std::vector<planned_commit> ready() const;

    void clear() { pending_.clear(); }

private:
    struct pending_commit {
        planned_commit planned;
        bool are_texts_stored = false;
    };

    template <class Predicate>
    void erase_if(Predicate predicate);

    /// The commits of a job are in the order of their positions.
    std::vector<pending_commit> pending_;
};

} // namespace hibiscus::batch
