#pragma once

#include "hibiscus/batch/item_scheduler.hpp"
#include "hibiscus/batch/job_table.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace hibiscus::batch {

/// Results that are to be listed together.
struct planned_commit {
    job_id job;
    int position = 0;
    result_commit commit;
    /// The record with their texts.
    store::record texts_record;
};

/// Groups results into listings behind what the ledger has of their jobs. A
/// record is begun anew once it holds `record_bytes` of text; `name` makes a
/// name for each that was never used before.
std::vector<planned_commit>
plan_commits(const job_table& l, std::vector<ready_result> results,
             std::size_t record_bytes,
             const std::function<std::string()>& name);

/// Returns the plan without the jobs whose texts could not all be stored. The
/// store may refuse single partitions; left together, one job whose partition
/// is away would hold up the results of all trainers.
std::vector<planned_commit> exclude_jobs(std::vector<planned_commit> plan,
                                         const std::set<job_id>& unstored);

/// Returns true if the plan still follows on what the ledger has. Between
/// planning and listing the texts are stored, and meanwhile an earlier append
/// whose answer was lost may turn out to have listed the same items: a second
/// listing at the same position would replace results that were read, or
/// leave a gap.
bool is_plan_current(const job_table& l,
                     const std::vector<planned_commit>& plan);

} // namespace hibiscus::batch
