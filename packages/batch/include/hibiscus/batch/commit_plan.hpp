#pragma once

#include "hibiscus/batch/item_scheduler.hpp"
#include "hibiscus/batch/job_table.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hibiscus::batch {

/// Results of one job that will be committed together.
struct planned_commit {
    job_id job;
    int position = 0;
    result_commit commit;
    /// The record with their texts.
    store::record texts_record;
};

/// Groups results into commits that continue after the committed positions of
/// their jobs, or at `next_positions` for the jobs in it. Omits items that are
/// already committed. Starts a new record once one holds `max_record_bytes` of
/// text. `make_name` must return a name that was never used before.
std::vector<planned_commit>
plan_commits(const job_table& jobs, std::vector<ready_result> results,
             std::size_t max_record_bytes,
             const std::function<std::string()>& make_name,
             std::map<job_id, int> next_positions = {});

/// Returns true if the plan still continues after the committed positions. The
/// texts are stored between planning and committing. In that time an earlier
/// append whose response was lost may turn out to have committed the same
/// items; a second commit at the same position would replace results that were
/// already read, or leave a gap.
bool is_plan_current(const job_table& jobs,
                     const std::vector<planned_commit>& plan);

} // namespace hibiscus::batch
