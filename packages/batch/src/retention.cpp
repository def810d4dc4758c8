#include "hibiscus/batch/retention.hpp"

namespace hibiscus::batch {

std::optional<job_id> find_expired_job(const job_table& jobs, base::millis now,
                                       base::millis retention_ms) {
    for (const auto& [id, row] : jobs.jobs()) {
        if (row.header && row.has_ended &&
            now - row.first_seen_at > retention_ms) {
            return id;
        }
    }
    return std::nullopt;
}

std::vector<store::record> make_journal_erasures(const job_id& id,
                                                 const job_row& row) {
    std::vector<store::record> erasures;
    for (const auto& commit : row.commits) {
        erasures.push_back({format_key(commit_key{id, commit.first}), ""});
    }
    erasures.push_back({format_key(end_key{id}), ""});
    for (const auto& submitter : row.rejected_submitters) {
        erasures.push_back({format_key(header_key{id, submitter}), ""});
    }
    erasures.push_back({format_key(header_key{id, row.submitter}), ""});
    return erasures;
}

} // namespace hibiscus::batch
