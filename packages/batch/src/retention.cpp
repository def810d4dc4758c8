#include "hibiscus/batch/retention.hpp"

namespace hibiscus::batch {

std::optional<job_id> expired_job(const ledger& l, base::millis now,
                                  base::millis keep_ms) {
    for (const auto& [id, row] : l.jobs()) {
        if (row.header && row.ended && now - row.seen_at > keep_ms) {
            return id;
        }
    }
    return std::nullopt;
}

std::vector<store::record> journal_erasures(const job_id& id,
                                            const job_row& row) {
    std::vector<store::record> out;
    for (const auto& l : row.listings) {
        out.push_back({to_text(listing_key{id, l.first}), ""});
    }
    out.push_back({to_text(end_key{id}), ""});
    out.push_back({to_text(header_key{id}), ""});
    return out;
}

} // namespace hibiscus::batch
