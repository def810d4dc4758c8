#pragma once

#include "hibiscus/batch/job_table.hpp"

#include <optional>
#include <vector>

/// Decides when the records of jobs are erased. The store rejects all appends
/// once it is full. The jobs of a trainer store about 3 MB every four seconds,
/// so four trainers would fill 400 MB in three minutes.
namespace hibiscus::batch {

/// Returns a job whose records may be erased: it has ended and was first seen
/// more than `retention_ms` ago. Results of an open job are kept whatever its
/// age. The age counts from when this process first saw the job, so it doesn't
/// depend on the clocks of other machines, and a restart keeps records longer,
/// never shorter.
std::optional<job_id> find_expired_job(const job_table& jobs, base::millis now,
                                       base::millis retention_ms);

/// Returns the records that erase a job from the journal. They must be appended
/// in one call after all other records of the job are erased: if the process is
/// killed in between, the job is still in the journal and another process
/// erases it.
std::vector<store::record> make_journal_erasures(const job_id& id,
                                                 const job_row& row);

} // namespace hibiscus::batch
