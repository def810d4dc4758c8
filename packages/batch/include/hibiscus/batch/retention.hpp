#pragma once

#include "hibiscus/batch/job_table.hpp"

#include <optional>
#include <vector>

/// When the records of jobs leave the store. It refuses all appends once it is
/// full; a trainer's jobs take some 3 MB each four seconds (an estimate from
/// the size of its texts), so that four trainers would fill 400 MB in three
/// minutes.
namespace hibiscus::batch {

/// Returns a job whose records may go: one that has ended and was first seen
/// more than `keep_ms` ago. Results of an open job stay, whatever its age. A
/// process that has just started counts anew, which keeps records longer,
/// never shorter, and needs no clock of another machine.
std::optional<job_id> find_expired_job(const job_table& l, base::millis now,
                                       base::millis keep_ms);

/// Returns the appends that erase a job from the journal. They go in one call
/// after all else of the job is gone: a process that is killed in between
/// leaves a job that another one finds and erases.
std::vector<store::record> make_journal_erasures(const job_id& id,
                                                 const job_row& row);

} // namespace hibiscus::batch
