#include "hibiscus/base/result.hpp"
#include "hibiscus/batch/retention.hpp"
#include "job_owner.hpp"

/// Erasure of expired jobs and of saved progress by job_owner.
namespace hibiscus::entry {

namespace {

/// Delay between two erasures of jobs, in ms. To find the keys of a job, its
/// texts are read, which takes a node with half a core about 10 ms per
/// megabyte. Four trainers end one job a second.
constexpr base::millis erase_interval_ms = 500;

/// Delay after an erasure that the store did not accept, in ms.
constexpr base::millis erase_retry_delay_ms = 5000;

} // namespace

/// Erases one expired job: first its items, texts and progress, then its
/// journal records on the condition that this node is still the owner.
void job_owner::erase_next_expired_job() {
    const auto now = state_.clock.now();
    if (erasing_job_ || appending_ || handover_.has_begun() ||
        now < next_erase_at_) {
        return;
    }
    const auto id =
        batch::find_expired_job(state_.jobs, now,
                                state_.settings.result_retention_ms +
                                    state_.settings.retention_margin_ms);
    if (!id) {
        next_erase_at_ = now + erase_interval_ms;
        return;
    }
    erasing_job_ = true;
    job_store_.erase(*id, [this, id = *id](bool records_erased) {
        const auto* row = state_.jobs.find(id);
        if (!records_erased || row == nullptr || !is_owner() || appending_) {
            on_erase_finished(id, false);
            return;
        }
        append_to_journal(
            batch::make_journal_erasures(id, *row),
            [this, id](bool erased) { on_erase_finished(id, erased); });
    });
}

void job_owner::on_erase_finished(const batch::job_id& id, bool erased) {
    erasing_job_ = false;
    next_erase_at_ = state_.clock.now() +
                     (erased ? erase_interval_ms : erase_retry_delay_ms);
    state_.log.write(
        "job_erased",
        {{"job", id},
         {"jobs", static_cast<std::int64_t>(state_.jobs.jobs().size())},
         {"done", erased}});
}

/// Erases the progress that this owner has saved for an ended job. Nobody
/// resumes these texts, and they are as large as the results.
void job_owner::erase_progress(const batch::job_id& id) {
    const auto saved = progress_keys_.find(id);
    if (saved == progress_keys_.end()) {
        return;
    }
    std::vector<store::record> erasures;
    for (const auto& key : saved->second) {
        erasures.push_back({key, ""});
    }
    progress_keys_.erase(saved);
    job_store_.append_progress(
        id, erasures, [this, id](const store::append_result& r) {
            if (base::value_if(r) == nullptr) {
                // The records are erased later, together with the job.
                state_.log.write("append_refused",
                                 {{"reason", "erasure"}, {"job", id}});
            }
        });
}

} // namespace hibiscus::entry
