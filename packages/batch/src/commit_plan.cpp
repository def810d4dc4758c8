#include "hibiscus/batch/commit_plan.hpp"

#include <algorithm>

namespace hibiscus::batch {

std::vector<planned_commit>
plan_commits(const job_table& jobs, std::vector<ready_result> results,
             std::size_t max_record_bytes,
             const std::function<std::string()>& make_name,
             std::map<job_id, int> next_positions) {
    std::vector<planned_commit> plan;
    std::vector<item_result> texts;
    std::size_t text_bytes = 0;
    const auto finish_record = [&] {
        if (!texts.empty()) {
            plan.back().texts_record.value = encode(texts);
        }
        texts.clear();
        text_bytes = 0;
    };
    for (auto& r : results) {
        const auto* row = jobs.find(r.job);
        if (row == nullptr || row->committed_items.count(r.item_index) != 0) {
            continue;
        }
        auto& position =
            next_positions.emplace(r.job, row->next_position()).first->second;
        if (plan.empty() || plan.back().job != r.job ||
            text_bytes >= max_record_bytes) {
            finish_record();
            const auto texts_name = make_name();
            plan.push_back({r.job,
                            position,
                            {texts_name, {}},
                            {texts_key(r.job, position, texts_name), ""}});
        }
        ++position;
        text_bytes += r.result.text.size();
        plan.back().commit.rows.push_back({r.item_index, r.result.outcome});
        texts.push_back(std::move(r.result));
    }
    finish_record();
    return plan;
}

bool is_plan_current(const job_table& jobs,
                     const std::vector<planned_commit>& plan) {
    std::map<job_id, int> next_positions;
    return std::all_of(plan.begin(), plan.end(), [&](const auto& p) {
        const auto* row = jobs.find(p.job);
        if (row == nullptr) {
            return false;
        }
        auto& position =
            next_positions.emplace(p.job, row->next_position()).first->second;
        const bool follows = position == p.position;
        position += static_cast<int>(p.commit.rows.size());
        return follows && std::none_of(p.commit.rows.begin(),
                                       p.commit.rows.end(), [&](const auto& r) {
                                           return row->committed_items.count(
                                                      r.item_index) != 0;
                                       });
    });
}

} // namespace hibiscus::batch
