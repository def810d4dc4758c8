#include "hibiscus/batch/item_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <map>

/// Describes the open jobs to step_planner.
namespace hibiscus::batch {

namespace {

/// The interval at which the plan is made anew while no job comes, in ms.
constexpr base::millis plan_interval_ms = 100;

/// The part of a text's present length that is still expected once the text is
/// as long as estimated.
constexpr double overlong_part = 0.25;

} // namespace

/// Makes the plan anew if it is old or lacks a job.
void item_scheduler::update_plan() {
    if (!table_.is_enabled(base::feature::choose_groups)) {
        return;
    }
    const auto now = clock_.now();
    const bool has_new_job =
        std::any_of(jobs_.begin(), jobs_.end(), [](const auto& row) {
            return !row.second.speculative_until &&
                   row.second.group_indices.empty();
        });
    if (!has_new_job && now - planned_at_ < plan_interval_ms) {
        return;
    }
    update_paces(now);
    planned_at_ = now;
    std::vector<open_job> jobs;
    std::map<samplers::service_name, int> slots;
    for (auto& [id, job] : jobs_) {
        if (!job.speculative_until) {
            jobs.push_back(describe_job(id, job));
            slots[job.options.service] = table_.slot_count(job.options.service);
        }
    }
    planner_.update(now, jobs, slots);
}

void item_scheduler::update_paces(base::millis now) {
    std::map<samplers::service_name, int> running;
    for (const auto& [number, run] : runs_) {
        const auto job = jobs_.find(run.job);
        if (job != jobs_.end()) {
            ++running[job->second.options.service];
        }
    }
    for (auto& [service, pace] : paces_) {
        pace.add_time(now - planned_at_, running[service]);
    }
}

open_job item_scheduler::describe_job(const job_id& id, job_state& job) const {
    open_job result;
    result.id = id;
    result.service = job.options.service;
    result.trainer = trainer_of(job);
    result.target_at = job.first_seen_at + job.options.target_ms;
    result.weight = 1.0 / (1 + std::max(0, job.options.priority));
    result.required_groups = job.header.required_groups;
    if (job.group_indices.empty()) {
        std::map<std::string, int> indices;
        for (const auto& row : job.items) {
            job.group_indices.push_back(
                indices
                    .emplace(row.content.group,
                             static_cast<int>(indices.size()))
                    .first->second);
        }
    }
    for (std::size_t n = 0; n < job.items.size(); ++n) {
        const auto index = static_cast<std::size_t>(job.group_indices[n]);
        if (index == result.groups.size()) {
            result.groups.emplace_back();
            result.groups.back().index = static_cast<int>(index);
            result.groups.back().first_item = job.items[n].content.id;
            result.groups.back().is_whole = true;
        }
        add_to_group(result.groups[index], job, job.items[n]);
    }
    return result;
}

void item_scheduler::add_to_group(open_group& group, const job_state& job,
                                  const item_row& row) const {
    group.first_item = std::min(group.first_item, row.content.id);
    group.is_resubmitted = group.is_resubmitted || row.is_resubmitted;
    group.has_begun = group.has_begun || row.state != item_state::waiting ||
                      row.output.event_count > 0;
    const bool is_running = row.state == item_state::running;
    if (!is_running && row.state != item_state::waiting) {
        return;
    }
    const double run_ms = expected_run_ms(job, row);
    group.is_whole = false;
    group.work_ms += run_ms;
    group.longest_ms = std::max(group.longest_ms, run_ms);
    group.running_ms += is_running ? run_ms : 0;
    group.running_items += is_running ? 1 : 0;
}

/// Returns the server time that the rest of an item's text is expected to take,
/// in ms of one slot; 0 while the servers' pace is unknown.
double item_scheduler::expected_run_ms(const job_state& job,
                                       const item_row& row) const {
    const auto pace = paces_.find(job.options.service);
    if (pace == paces_.end()) {
        return 0;
    }
    const double tokens_per_event =
        static_cast<double>(token_estimator_.estimate_tokens(1000)) / 1000;
    const double expected_events =
        static_cast<double>(row.content.expected_output_tokens) /
        tokens_per_event;
    const double events = row.output.event_count;
    return pace->second.ms_per_event() *
           std::max({expected_events - events, events * overlong_part, 1.0});
}

/// Returns the rank of an item's group, or 0 while the work of its service
/// fits. Speculative items come last.
group_rank item_scheduler::rank_of(const job_id& id, const job_state& job,
                                   std::size_t item_index) const {
    if (job.speculative_until) {
        return std::numeric_limits<group_rank>::max();
    }
    const auto* ranks = planner_.ranks(id);
    if (ranks == nullptr) {
        return 0;
    }
    const auto rank = ranks->find(job.group_indices[item_index]);
    return rank == ranks->end() ? 0 : rank->second;
}

} // namespace hibiscus::batch
