#include "hibiscus/batch/retention.hpp"

namespace hibiscus::batch {

std::optional<job_id> find_expired_job(const job_table& l, base::millis now,
                                       base::millis keep_ms) {
    for (const auto& [id, row] : l.jobs()) {
        if (row.header && row.has_ended && now - row.first_seen_at > keep_ms) {
            return id;
        }
    }
    return std::nullopt;
}

std::vector<store::record> make_journal_erasures(const job_id& id,
                                                 const job_row& row) {
    std::vector<store::record> out;
    for (const auto& l : row.commits) {
        out.push_back({format_key(commit_key{id, l.first}), ""});
    }
    out.push_back({format_key(end_key{id}), ""});
    out.push_back({format_key(header_key{id}), ""});
    return out;
}

} // namespace hibiscus::batch
