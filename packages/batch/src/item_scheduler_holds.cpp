#include "hibiscus/batch/item_scheduler.hpp"

#include <algorithm>

/// Tells why items are at no server.
namespace hibiscus::batch {

std::vector<held_item> item_scheduler::held_items(base::millis min_held_ms,
                                                  bool may_start_runs,
                                                  std::size_t max_count) const {
    const auto now = clock_.now();
    std::vector<held_item> held;
    std::set<std::pair<job_id, int>> sent;
    for (const auto& [number, run] : runs_) {
        if (run.is_sent) {
            sent.emplace(run.job, run.item_index);
        }
    }
    samplers::run_placement placement(table_, now);
    for (const auto& [id, job] : jobs_) {
        for (std::size_t n = 0; n < job.items.size(); ++n) {
            const auto& row = job.items[n];
            const auto item_index = static_cast<int>(n);
            const bool is_unfinished =
                row.state == item_state::waiting ||
                row.state == item_state::running ||
                (row.state == item_state::quarantined &&
                 row.state_before == item_state::waiting);
            if (job.speculative_until || !is_unfinished ||
                now - row.last_served_at < min_held_ms ||
                sent.count({id, item_index}) != 0) {
                continue;
            }
            held.push_back(
                {id, item_index, row.content.id,
                 find_hold_reason(job, row, may_start_runs, placement),
                 now - row.last_served_at, row.timeline.run_count,
                 row.output.event_count,
                 crashes_.counted_losses(request_of(job, row))});
        }
    }
    std::sort(held.begin(), held.end(), [](const auto& a, const auto& b) {
        return a.held_ms > b.held_ms;
    });
    held.resize(std::min(held.size(), max_count));
    return held;
}

hold_reason
item_scheduler::find_hold_reason(const job_state& job, const item_row& row,
                                 bool may_start_runs,
                                 samplers::run_placement& placement) const {
    if (row.state == item_state::quarantined) {
        return hold_reason::quarantined;
    }
    if (row.state == item_state::running) {
        return hold_reason::unstored_losses;
    }
    if (!may_send(job, row)) {
        return crashes_.is_stored(request_of(job, row))
                   ? hold_reason::unsettled_losses
                   : hold_reason::unstored_losses;
    }
    if (is_score_too_late(job, row)) {
        return hold_reason::scoring_delay;
    }
    if (clock_.now() < row.not_before) {
        return hold_reason::retry_delay;
    }
    if (!may_start_runs) {
        return hold_reason::starts_stopped;
    }
    return placement.find_best(requirements_of(job, row))
               ? hold_reason::no_suitable_server
               : hold_reason::no_server;
}

} // namespace hibiscus::batch
