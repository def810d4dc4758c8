#include "hibiscus/base/result.hpp"
#include "hibiscus/batch/item_scheduler.hpp"
#include "item_scheduler_limits.hpp"

#include <algorithm>

/// Reward calls of finished texts, and which items don't begin while these lag.
namespace hibiscus::batch {

namespace {

/// How long after a job's target callers may still use its results, as a part
/// of the target time.
constexpr base::millis usable_after_target_divisor = 2;

/// The longest time for which an item is kept from beginning, in ms. The
/// estimate of the delay may be wrong, and its trainer may wait for it.
constexpr base::millis max_withheld_ms = 3000;

/// A finished text that has waited this long for its score, in ms, is saved
/// with the unfinished ones.
constexpr base::millis unscored_save_delay_ms = 1000;

} // namespace

void item_scheduler::request_reward_or_finish(const job_id& id, int item_index,
                                              effects& out) {
    auto& job = jobs_.at(id);
    auto& row = job.items[static_cast<std::size_t>(item_index)];
    if (row.timeline.text_complete_ms < 0) {
        row.timeline.text_complete_ms = clock_.now() - job.first_seen_at;
        if (!row.is_resubmitted) {
            token_estimator_.add_sample(row.content.expected_output_tokens,
                                        row.output.event_count);
        }
    }
    if (row.content.reward) {
        row.state = item_state::reward_in_flight;
        out.push_back(make_reward(job, item_index));
    } else {
        row.state = item_state::ready;
    }
}

/// Makes the reward call of a finished text again unless servers ended under
/// it.
void item_scheduler::settle_pending_reward(const job_id& id, int item_index,
                                           effects& out) {
    const auto& job = jobs_.at(id);
    const auto& row = job.items[static_cast<std::size_t>(item_index)];
    if (clock_.now() < row.not_before) {
        return;
    }
    const auto permission = row.content.reward
                                ? crashes_.permission(reward_of(job, row))
                                : send_permission::allowed;
    if (permission == send_permission::quarantined) {
        quarantine(id, item_index, true, out);
    } else if (permission == send_permission::allowed &&
               !has_to_wait_for_reward(job, row)) {
        request_reward_or_finish(id, item_index, out);
    }
}

/// Returns true if the next loss of a reward call may be its last and another
/// call of that kind is in flight. Calls to the same server share its end, so
/// one that ends its servers would take others along.
bool item_scheduler::has_to_wait_for_reward(const job_state& job,
                                            const item_row& row) const {
    if (crashes_.size() == 0 || !row.content.reward ||
        !crashes_.needs_stored_send(reward_of(job, row)) ||
        clock_.now() - row.not_before > max_isolation_wait_ms) {
        return false;
    }
    return std::any_of(jobs_.begin(), jobs_.end(), [this](const auto& entry) {
        const auto& other = entry.second;
        return std::any_of(
            other.items.begin(), other.items.end(), [&](const auto& i) {
                return i.state == item_state::reward_in_flight &&
                       crashes_.needs_stored_send(reward_of(other, i));
            });
    });
}

effects item_scheduler::on_reward_ended(const job_id& id, int item_index,
                                        const reward_outcome& outcome) {
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return {};
    }
    auto& row = job->second.items[static_cast<std::size_t>(item_index)];
    if (row.state != item_state::reward_in_flight) {
        return {};
    }
    effects out;
    std::visit(
        base::overloaded{[&](const reward_score& success) {
                             crashes_.on_finished(reward_of(job->second, row));
                             row.score = success.score;
                             row.state = item_state::ready;
                             row.timeline.ready_ms =
                                 clock_.now() - job->second.first_seen_at;
                         },
                         [&](const reward_failure& failure) {
                             count_reward_failure(job->second, row, failure);
                         },
                         [&](const reward_not_sent& not_sent) {
                             repeat_reward(row, not_sent.retry_delay_ms);
                         }},
        outcome);
    return out;
}

effects item_scheduler::on_reward_server_lost(const job_id& id, int item_index,
                                              const server_loss& lost) {
    effects out;
    if (jobs_.count(id) != 0) {
        add_loss(id, item_index, true, lost, out);
    }
    return out;
}

void item_scheduler::on_reward_abandoned(const job_id& id, int item_index,
                                         const server_loss& last_seen) {
    const auto job = jobs_.find(id);
    if (job != jobs_.end()) {
        const auto& row =
            job->second.items[static_cast<std::size_t>(item_index)];
        crashes_.on_abandoned(reward_of(job->second, row), last_seen);
    }
}

bool item_scheduler::may_repeat_reward(const job_id& id, int item_index) const {
    const auto job = jobs_.find(id);
    return job != jobs_.end() &&
           crashes_.permission(reward_of(
               job->second,
               job->second.items[static_cast<std::size_t>(item_index)])) ==
               send_permission::allowed;
}

/// Ends the item as errored after too many failed responses. Only these count:
/// rejected or lost calls say nothing about the text.
void item_scheduler::count_reward_failure(const job_state& job, item_row& row,
                                          const reward_failure& failure) {
    row.reward_failures += failure.failed_responses;
    if (failure.failed_responses > 0 &&
        row.reward_failures >= failure.max_failed_responses) {
        row.outcome = item_outcome::errored;
        row.state = item_state::ready;
        row.timeline.ready_ms = clock_.now() - job.first_seen_at;
        return;
    }
    repeat_reward(row, failure.retry_delay_ms);
}

void item_scheduler::repeat_reward(item_row& row, base::millis delay_ms) {
    row.state = item_state::reward_pending;
    row.not_before = clock_.now() + delay_ms;
}

start_reward item_scheduler::make_reward(const job_state& job,
                                         int item_index) const {
    const auto& row = job.items[static_cast<std::size_t>(item_index)];
    start_reward reward;
    reward.job = job.header.id;
    reward.item_index = item_index;
    reward.call = &*row.content.reward;
    reward.group = row.content.group;
    reward.unscored_items = 0;
    reward.group_items = 0;
    for (const auto& other : job.items) {
        if (other.content.group == row.content.group) {
            ++reward.group_items;
            reward.unscored_items += other.state != item_state::ready &&
                                     other.state != item_state::committed;
        }
    }
    reward.is_resubmitted = row.is_resubmitted;
    reward.target_at = job.first_seen_at + job.options.target_ms;
    reward.expires_at = job.options.item_expiry_ms > 0
                            ? job.first_seen_at + job.options.item_expiry_ms
                            : 0;
    const int loss_count = crashes_.counted_losses(reward_of(job, row));
    // The losses before the last send are stored first.
    reward.max_lost_servers =
        std::max(1, crash_ledger::max_server_ends - 1 - loss_count);
    reward.reuse_connection = !crash_ledger::is_last_send(loss_count);
    reward.avoid_silent_servers =
        loss_count > 0 || crashes_.has_doubtful_send(reward_of(job, row));
    return reward;
}

/// Returns true if an item that begins now would be scored after its job's
/// results are of use, while finished texts of the job wait for their scores.
bool item_scheduler::is_score_too_late(const job_state& job,
                                       const item_row& row) const {
    const auto delay = scoring_delays_.find(job.header.id);
    if (delay == scoring_delays_.end() || !row.content.reward ||
        row.timeline.first_start_ms >= 0 || row.output.event_count > 0) {
        return false;
    }
    const auto now = clock_.now();
    const auto usable_until =
        job.first_seen_at + job.options.target_ms +
        job.options.target_ms / usable_after_target_divisor;
    return now + delay->second > usable_until &&
           now - row.last_served_at < max_withheld_ms;
}

int item_scheduler::withheld_count() const {
    int count = 0;
    for (const auto& delay : scoring_delays_) {
        const auto job = jobs_.find(delay.first);
        if (job == jobs_.end()) {
            continue;
        }
        for (const auto& row : job->second.items) {
            count += row.state == item_state::waiting &&
                     is_score_too_late(job->second, row);
        }
    }
    return count;
}

/// Returns true if the text of an item is finished, waits for its score, and is
/// to be saved: at once if every event is (`min_events` is 1), otherwise after
/// a while. A new owner that resumes it after its last event finds it whole.
bool item_scheduler::is_unscored_text_due(const job_state& job,
                                          const item_row& row,
                                          int min_events) const {
    const bool is_unscored = row.state == item_state::reward_pending ||
                             row.state == item_state::reward_in_flight;
    const auto waited_ms =
        clock_.now() - job.first_seen_at - row.timeline.text_complete_ms;
    return is_unscored &&
           (min_events <= 1 || waited_ms > unscored_save_delay_ms);
}

} // namespace hibiscus::batch
