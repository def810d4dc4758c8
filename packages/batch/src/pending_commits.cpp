#include "hibiscus/batch/pending_commits.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace hibiscus::batch {

namespace {

/// Returns true if the journal holds the commit, not another one at its
/// position.
bool is_committed(const job_row& row, const planned_commit& planned) {
    const auto found = row.commits.find(planned.position);
    return found != row.commits.end() &&
           found->second.texts_name == planned.commit.texts_name;
}

} // namespace

template <class Predicate>
void pending_commits::erase_if(Predicate predicate) {
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                  [&](const pending_commit& p) {
                                      return predicate(p.planned);
                                  }),
                   pending_.end());
}

void pending_commits::add(const job_table& jobs,
                          std::vector<ready_result> results,
                          std::size_t max_record_bytes,
                          const std::function<std::string()>& make_name) {
    std::map<job_id, int> next_positions;
    std::set<std::pair<job_id, int>> pending_items;
    for (const auto& [planned, are_texts_stored] : pending_) {
        next_positions[planned.job] =
            planned.position + static_cast<int>(planned.commit.rows.size());
        for (const auto& row : planned.commit.rows) {
            pending_items.emplace(planned.job, row.item_index);
        }
    }
    results.erase(
        std::remove_if(
            results.begin(), results.end(),
            [&](const ready_result& r) {
                return pending_items.count({r.job, r.item_index}) != 0;
            }),
        results.end());
    for (auto& planned :
         plan_commits(jobs, std::move(results), max_record_bytes, make_name,
                      std::move(next_positions))) {
        pending_.push_back({std::move(planned), false});
    }
}

std::set<job_id> pending_commits::update(const job_table& jobs) {
    erase_if([&](const planned_commit& planned) {
        const auto* row = jobs.find(planned.job);
        return row == nullptr || row->has_ended || is_committed(*row, planned);
    });
    std::map<job_id, std::vector<planned_commit>> plans;
    for (const auto& [planned, are_texts_stored] : pending_) {
        plans[planned.job].push_back(
            {planned.job, planned.position, planned.commit, {}});
    }
    std::set<job_id> superseded;
    for (const auto& [id, plan] : plans) {
        if (!is_plan_current(jobs, plan)) {
            superseded.insert(id);
        }
    }
    erase_if([&](const planned_commit& planned) {
        return superseded.count(planned.job) != 0;
    });
    return superseded;
}

std::set<job_id> pending_commits::unstored_jobs() const {
    std::set<job_id> ids;
    for (const auto& [planned, are_texts_stored] : pending_) {
        if (!are_texts_stored) {
            ids.insert(planned.job);
        }
    }
    return ids;
}

std::vector<planned_commit>
pending_commits::unstored(const std::set<job_id>& excluded_jobs) const {
    std::vector<planned_commit> plan;
    for (const auto& [planned, are_texts_stored] : pending_) {
        if (!are_texts_stored && excluded_jobs.count(planned.job) == 0) {
            plan.push_back(planned);
        }
    }
    return plan;
}

void pending_commits::on_texts_stored(const std::string& texts_key) {
    for (auto& [planned, are_texts_stored] : pending_) {
        if (planned.texts_record.key == texts_key) {
            are_texts_stored = true;
            // An assignment would keep the memory of the texts.
            static_cast<void>(std::exchange(planned.texts_record.value, {}));
        }
    }
}

std::vector<planned_commit> pending_commits::ready() const {
    std::vector<planned_commit> plan;
    std::set<job_id> incomplete_jobs;
    for (const auto& [planned, are_texts_stored] : pending_) {
        if (!are_texts_stored) {
            incomplete_jobs.insert(planned.job);
        } else if (incomplete_jobs.count(planned.job) == 0) {
            plan.push_back(planned);
        }
    }
    return plan;
}

} // namespace hibiscus::batch
