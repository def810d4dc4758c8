#include "hibiscus/batch/listing_plan.hpp"

#include <algorithm>
#include <map>

namespace hibiscus::batch {

std::vector<planned_listing>
plan_listings(const ledger& l, std::vector<ready_result> results,
              std::size_t record_bytes,
              const std::function<std::string()>& name) {
    std::vector<planned_listing> out;
    std::map<job_id, int> next;
    std::vector<item_result> texts;
    std::size_t bytes = 0;
    const auto flush = [&] {
        if (!texts.empty()) {
            out.back().texts.value = encode(texts);
        }
        texts.clear();
        bytes = 0;
    };
    for (auto& r : results) {
        const auto* row = l.find(r.job);
        if (row == nullptr || row->listed.count(r.number) != 0) {
            continue;
        }
        auto& position =
            next.emplace(r.job, row->next_position()).first->second;
        if (out.empty() || out.back().job != r.job || bytes >= record_bytes) {
            flush();
            const auto texts_name = name();
            out.push_back({r.job,
                           position,
                           {texts_name, {}},
                           {texts_text(r.job, position, texts_name), ""}});
        }
        ++position;
        bytes += r.result.text.size();
        out.back().content.rows.push_back({r.number, r.result.outcome});
        texts.push_back(std::move(r.result));
    }
    flush();
    return out;
}

std::vector<planned_listing> without_jobs(std::vector<planned_listing> plan,
                                          const std::set<job_id>& unstored) {
    const auto is_unstored = [&unstored](const planned_listing& p) {
        return unstored.count(p.job) != 0;
    };
    plan.erase(std::remove_if(plan.begin(), plan.end(), is_unstored),
               plan.end());
    return plan;
}

bool still_fits(const ledger& l, const std::vector<planned_listing>& plan) {
    std::map<job_id, int> next;
    return std::all_of(plan.begin(), plan.end(), [&](const auto& p) {
        const auto* row = l.find(p.job);
        if (row == nullptr) {
            return false;
        }
        auto& position =
            next.emplace(p.job, row->next_position()).first->second;
        const bool follows = position == p.position;
        position += static_cast<int>(p.content.rows.size());
        return follows &&
               std::none_of(p.content.rows.begin(), p.content.rows.end(),
                            [&](const auto& r) {
                                return row->listed.count(r.item) != 0;
                            });
    });
}

} // namespace hibiscus::batch
