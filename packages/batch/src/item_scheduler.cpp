#include "hibiscus/batch/item_scheduler.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace hibiscus::batch {

namespace {

/// Delay before an item is sent again after its connection broke, its run
/// failed or its server had old weights, in ms. Rejected items are queued again
/// at once, since their server is blocked.
constexpr base::millis retry_delay_ms = 20;

/// How long no run is sent to a server that rejected one, in ms: loading
/// weights takes 0.9 s, a full queue drains sooner.
constexpr base::millis rejection_block_ms = 250;

/// How long no run is sent to an address that belongs to another server than
/// expected, in ms: registry entries are renewed every 1.2 s.
constexpr base::millis other_server_block_ms = 600;

/// After a failed run, the item waits up to this long for a server at which it
/// has not failed, in ms.
constexpr base::millis avoid_failed_servers_ms = 500;

/// A gap of this length between two ticks shows that the owner's thread
/// stalled, in ms.
constexpr base::millis late_tick_threshold_ms = 100;

void add_version(std::vector<weight_version>& versions,
                 weight_version version) {
    if (std::find(versions.begin(), versions.end(), version) ==
        versions.end()) {
        versions.push_back(version);
    }
}

} // namespace

item_scheduler::item_scheduler(base::clock clock,
                               samplers::sampler_table& table,
                               crash_ledger& crashes)
    : clock_(std::move(clock)), table_(table), crashes_(crashes),
      stall_detector_(tick_ms, late_tick_threshold_ms) {
    stall_detector_.start(clock_.now());
}

effects item_scheduler::add_job(
    const job_row& row, std::vector<item> items,
    const std::map<int, std::vector<progress_part>>& progress,
    const job_options& options, std::int64_t epoch) {
    const auto id = row.header->id;
    if (has_job(id)) {
        return {};
    }
    auto out = remove_speculative_jobs(row.header->model);
    auto& job = jobs_[id];
    job.header = *row.header;
    job.options = options;
    job.first_seen_at = row.first_seen_at;
    int item_index = 0;
    for (auto& item : items) {
        item_row added;
        added.content = std::move(item);
        added.epoch = epoch;
        added.last_served_at = clock_.now();
        if (row.committed_items.count(item_index) != 0) {
            added.state = item_state::committed;
        } else {
            reuse_cached_text(job, added);
        }
        const auto saved_parts = progress.find(item_index);
        if (added.state == item_state::waiting &&
            saved_parts != progress.end()) {
            auto saved = join_progress_parts(saved_parts->second);
            added.failures = saved.failures;
            if (saved.event_count > added.output.event_count &&
                are_usable(saved.versions, job)) {
                added.output = {std::move(saved.text), saved.event_count,
                                std::move(saved.last_event),
                                std::move(saved.versions)};
            }
        }
        job.items.push_back(std::move(added));
        ++item_index;
    }
    measure_step(job);
    return out;
}

trainer_key item_scheduler::trainer_of(const job_state& job) {
    return {job.options.service, job.header.workspace, job.header.model};
}

void item_scheduler::measure_step(const job_state& job) {
    step_size size{job.first_seen_at, job.header.accepted_wall_ms,
                   job.options.target_ms, 0};
    for (const auto& row : job.items) {
        size.expected_tokens +=
            row.is_resubmitted ? 0 : row.content.expected_output_tokens;
    }
    work_meter_.forget_idle(clock_.now());
    work_meter_.on_step_added(trainer_of(job), job.header.id, size);
}

void item_scheduler::measure_text(const run_row& run) {
    const auto& job = jobs_.at(run.job);
    const auto& row = job.items[static_cast<std::size_t>(run.item_index)];
    if (!row.is_resubmitted && !job.speculative_until) {
        work_meter_.on_text(trainer_of(job),
                            {row.content.expected_output_tokens,
                             row.output.event_count, run.event_count,
                             clock_.now() - run.started_at});
    }
}

void item_scheduler::announce_version(const std::string& model,
                                      weight_version version) {
    auto& newest = newest_versions_[model];
    newest = std::max(newest, version);
}

void item_scheduler::cancel_runs(const job_id& id, const char* reason,
                                 effects& out) {
    std::vector<run_number> runs;
    for (const auto& [run, row] : runs_) {
        if (row.job == id) {
            runs.push_back(run);
        }
    }
    for (const auto run : runs) {
        cancel_run(run, reason, out);
    }
}

effects item_scheduler::remove_job(const job_id& id) {
    effects out;
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return out;
    }
    cancel_runs(id, "job_ended", out);
    work_meter_.on_step_removed(id);
    cache_texts(found->second);
    const auto ended_job = std::move(found->second);
    jobs_.erase(found);
    if (table_.is_enabled(base::feature::run_ahead)) {
        add_speculative_job(ended_job);
    }
    return out;
}

effects item_scheduler::remove_all_jobs() {
    effects out;
    while (!runs_.empty()) {
        cancel_run(runs_.begin()->first, "owner_changed", out);
    }
    jobs_.clear();
    cached_texts_.clear();
    work_meter_.clear();
    return out;
}

effects item_scheduler::on_committed(const job_id& id,
                                     const std::set<int>& item_indices) {
    effects out;
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return out;
    }
    for (const int item_index : item_indices) {
        if (item_index < static_cast<int>(job->second.items.size()) &&
            job->second.items[static_cast<std::size_t>(item_index)].state !=
                item_state::committed) {
            commit_item(id, job->second, item_index, out);
        }
    }
    return out;
}

void item_scheduler::commit_item(const job_id& id, job_state& job,
                                 int item_index, effects& out) {
    job.items[static_cast<std::size_t>(item_index)].state =
        item_state::committed;
    for (const auto& [run, row] : runs_) {
        if (row.job == id && row.item_index == item_index) {
            cancel_run(run, "listed", out);
            break;
        }
    }
}

item_scheduler::item_row* item_scheduler::find_item(const run_row& run) {
    const auto job = jobs_.find(run.job);
    if (job == jobs_.end()) {
        return nullptr;
    }
    return &job->second.items[static_cast<std::size_t>(run.item_index)];
}

void item_scheduler::cancel_run(run_number run, const char* reason,
                                effects& out) {
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return;
    }
    table_.on_request_ended(found->second.sampler,
                            found->second.reserved_tokens);
    abandon_run(found->second);
    out.push_back(stop_run{run, reason});
    runs_.erase(found);
}

void item_scheduler::requeue(item_row& row, base::millis delay) {
    row.state = item_state::waiting;
    row.not_before = clock_.now() + delay;
}

void item_scheduler::discard_output(item_row& row) {
    // An assignment would keep the memory of the text.
    static_cast<void>(std::exchange(row.output, {}));
    row.saved_events = 0;
    row.saved_bytes = 0;
    ++row.epoch;
}

/// Returns true if the text has more events than the item may have tokens, so
/// that it is not what the item asks for.
bool item_scheduler::has_too_many_events(const item_row& row) {
    return row.content.max_total_tokens > 0 &&
           row.output.event_count > row.content.max_total_tokens;
}

void item_scheduler::discount_stall() {
    const auto now = clock_.now();
    const auto stall_ms = stall_detector_.tick(now);
    for (auto& [number, run] : runs_) {
        run.last_activity_at = std::min(now, run.last_activity_at + stall_ms);
    }
}

/// Avoids a server that has failed a check. All runs that wait for one check
/// fail with it, but it is one failure of the server.
void item_scheduler::note_failed_check(const samplers::sampler_id& server) {
    const auto* row = table_.find(server);
    if (row == nullptr) {
        return;
    }
    if (row->blocked_until <= clock_.now()) {
        table_.on_failure(server);
    }
    table_.on_silence(server);
    unchecked_servers_.insert(server);
}

/// Removes the servers from which something has come since they failed a check.
void item_scheduler::forget_heard_servers() {
    for (auto id = unchecked_servers_.begin();
         id != unchecked_servers_.end();) {
        const auto* row = table_.find(*id);
        id = row != nullptr && row->is_silent() ? std::next(id)
                                                : unchecked_servers_.erase(id);
    }
}

effects item_scheduler::tick(bool may_start_runs) {
    discount_stall();
    forget_heard_servers();
    // Must come first: after a stall of the process, placing items would
    // otherwise start items of jobs that ended long ago.
    auto out = remove_expired_speculative_jobs();
    update_run_slots();
    has_new_evidence_ =
        std::exchange(evidence_number_, crashes_.evidence_number()) !=
        evidence_number_;
    crashes_.read_registrations(table_);
    for (const auto& late : crashes_.take_late_losses()) {
        out.push_back(report_late_loss{late});
    }
    stop_limited_runs(out);
    if (may_start_runs) {
        move_runs(out);
        place_items(out);
    }
    for (const auto& [id, job] : jobs_) {
        for (std::size_t n = 0; n < job.items.size(); ++n) {
            update_state(id, static_cast<int>(n), out);
        }
    }
    return out;
}

void item_scheduler::update_state(const job_id& id, int item_index,
                                  effects& out) {
    auto& job = jobs_.at(id);
    auto& row = job.items[static_cast<std::size_t>(item_index)];
    if (row.state == item_state::reward_pending) {
        settle_pending_reward(id, item_index, out);
    } else if (row.state == item_state::waiting) {
        settle_waiting(id, item_index, out);
    } else if (row.state == item_state::quarantined && has_expired(job)) {
        row.outcome = item_outcome::errored;
        row.state = item_state::ready;
    } else if (row.state == item_state::quarantined && has_new_evidence_) {
        release_if_excused(id, item_index, out);
    }
}

bool item_scheduler::has_expired(const job_state& job) const {
    return job.options.item_expiry_ms > 0 &&
           clock_.now() - job.first_seen_at > job.options.item_expiry_ms;
}

void item_scheduler::settle_waiting(const job_id& id, int item_index,
                                    effects& out) {
    auto& job = jobs_.at(id);
    auto& row = job.items[static_cast<std::size_t>(item_index)];
    if (has_expired(job)) {
        row.outcome = item_outcome::errored;
        row.state = item_state::ready;
    } else if (!crashes_.is_empty() &&
               (crashes_.permission(request_of(job, row)) ==
                    send_permission::quarantined ||
                has_fruitless_runs(job, row))) {
        quarantine(id, item_index, false, out);
    }
}

request_key item_scheduler::request_of(const job_state& job,
                                       const item_row& row) {
    return {job.header.workspace, row.content.id.str()};
}

request_key item_scheduler::reward_of(const job_state& job,
                                      const item_row& row) {
    return {job.header.workspace, row.content.reward->id};
}

server_process item_scheduler::process_of(const run_row& run) {
    return {run.sampler, run.server_started_ms};
}

/// Ends the sends of an item or its reward call. The item is errored only once
/// it expires: chance may have ended the servers under it.
void item_scheduler::quarantine(const job_id& id, int item_index,
                                bool is_reward, effects& out) {
    auto& row = jobs_.at(id).items[static_cast<std::size_t>(item_index)];
    row.state_before = std::exchange(row.state, item_state::quarantined);
    out.push_back(report_quarantine{describe(id, item_index, is_reward)});
}

suspected_request item_scheduler::describe(const job_id& id, int item_index,
                                           bool is_reward) const {
    const auto& job = jobs_.at(id);
    const auto& row = job.items[static_cast<std::size_t>(item_index)];
    const auto request = is_reward ? reward_of(job, row) : request_of(job, row);
    return {id, item_index, request.request_id, is_reward,
            crashes_.summarize(request)};
}

effects item_scheduler::on_response_started(run_number run,
                                            weight_version version) {
    effects out;
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return out;
    }
    found->second.version = version;
    found->second.has_response = true;
    found->second.last_activity_at = clock_.now();
    table_.on_heard(found->second.sampler);
    auto* item = find_item(found->second);
    item->last_served_at = clock_.now();
    item->failed_checks = 0;
    const auto& job = jobs_.at(found->second.job);
    table_.set_observed_version(found->second.sampler, job.header.model,
                                version);
    if (version < job.header.min_version) {
        // The table held a newer version for this server; the text would be too
        // old for the job.
        cancel_run(run, "old_weights", out);
        requeue(*item, retry_delay_ms);
    }
    return out;
}

effects item_scheduler::on_event(run_number run, const std::string& id,
                                 const std::string& data,
                                 std::optional<weight_version> version) {
    effects out;
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return out;
    }
    auto& current = found->second;
    auto& job = jobs_.at(current.job);
    auto& row = *find_item(current);
    const auto now = clock_.now();
    if (current.event_count > 0) {
        table_.on_event(current.sampler, now - current.last_activity_at);
    } else {
        table_.on_heard(current.sampler);
    }
    current.last_activity_at = now;
    row.last_served_at = now;
    paces_[job.options.service].on_event();
    ++current.event_count;
    if (version) {
        current.version = *version;
        table_.set_observed_version(current.sampler, job.header.model,
                                    *version);
    }
    if (version && *version < job.header.min_version) {
        // The text up to here is kept and goes on at another server.
        cancel_run(run, "old_weights", out);
        requeue(row, retry_delay_ms);
        return out;
    }
    if (job.options.single_version && !row.output.versions.empty() &&
        row.output.versions.back() != current.version) {
        cancel_run(run, "mixed_versions", out);
        discard_output(row);
        requeue(row, 0);
        return out;
    }
    if (row.output.event_count > 0) {
        row.output.bytes += '\n';
    }
    row.output.bytes += data;
    row.output.last_event = id;
    ++row.output.event_count;
    if (has_too_many_events(row)) {
        table_.on_failure(current.sampler);
        cancel_run(run, "too_many_events", out);
        discard_output(row);
        requeue(row, retry_delay_ms);
        return out;
    }
    add_version(row.output.versions, current.version);
    row.fruitless_runs = 0;
    if (current.loss_count > 0) {
        clear_losses(current, job, row, out);
    }
    if (has_reached_limit(current)) {
        stop_limited_run(run, out);
    }
    return out;
}

effects item_scheduler::on_run_ended(run_number run, run_outcome outcome) {
    effects out;
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return out;
    }
    const auto ended_run = found->second;
    runs_.erase(found);
    table_.on_request_ended(ended_run.sampler, ended_run.reserved_tokens);
    auto& row = *find_item(ended_run);
    const auto& options = jobs_.at(ended_run.job).options;
    const auto request = request_of(jobs_.at(ended_run.job), row);
    if (outcome == run_outcome::cut) {
        add_loss(ended_run.job, ended_run.item_index, false,
                 loss_of(ended_run, row), out);
    } else {
        crashes_.on_survived(request, process_of(ended_run));
    }
    switch (outcome) {
    case run_outcome::complete:
        measure_text(ended_run);
        crashes_.on_finished(request);
        row.state = item_state::reward_pending;
        row.not_before = clock_.now();
        settle_pending_reward(ended_run.job, ended_run.item_index, out);
        break;
    case run_outcome::cut:
    case run_outcome::unusable:
        table_.on_failure(ended_run.sampler);
        requeue(row, retry_delay_ms);
        break;
    case run_outcome::not_sent:
        requeue(row, retry_delay_ms);
        break;
    case run_outcome::no_sign:
        ++row.failed_checks;
        note_failed_check(ended_run.sampler);
        requeue(row, 0);
        break;
    case run_outcome::not_run:
        table_.block(ended_run.sampler, rejection_block_ms);
        requeue(row, 0);
        break;
    case run_outcome::replaced:
        row.needs_new_connection = true;
        [[fallthrough]];
    case run_outcome::other_server:
        table_.block(ended_run.sampler, other_server_block_ms);
        requeue(row, 0);
        break;
    case run_outcome::failed:
        ++row.failures;
        row.failed_servers.insert(ended_run.sampler);
        row.avoid_failed_servers_until = clock_.now() + avoid_failed_servers_ms;
        if (row.failures >= options.max_attempts) {
            row.outcome = item_outcome::errored;
            row.state = item_state::ready;
        } else {
            requeue(row, retry_delay_ms);
        }
        break;
    case run_outcome::impossible:
        row.outcome = item_outcome::errored;
        row.state = item_state::ready;
        break;
    }
    return out;
}

std::vector<ready_result>
item_scheduler::ready_results(std::size_t max_bytes,
                              const std::set<job_id>& excluded_jobs) const {
    std::vector<ready_result> results;
    std::size_t total = 0;
    for (const auto& [id, job] : jobs_) {
        if (job.speculative_until || excluded_jobs.count(id) != 0) {
            continue;
        }
        for (std::size_t n = 0; n < job.items.size(); ++n) {
            const auto& row = job.items[n];
            if (row.state != item_state::ready || total > max_bytes) {
                continue;
            }
            const bool succeeded = row.outcome == item_outcome::succeeded;
            total += row.output.bytes.size();
            results.push_back({id,
                               static_cast<int>(n),
                               {row.content.id, row.outcome,
                                succeeded ? row.output.bytes : std::string(),
                                succeeded ? row.output.versions
                                          : std::vector<weight_version>(),
                                row.score}});
        }
    }
    return results;
}

std::vector<unsaved_part>
item_scheduler::unsaved_parts(int min_events, std::size_t max_bytes) const {
    std::vector<unsaved_part> parts;
    std::size_t total = 0;
    for (const auto& [id, job] : jobs_) {
        for (std::size_t n = 0; !job.speculative_until && n < job.items.size();
             ++n) {
            const auto& row = job.items[n];
            const bool is_unfinished =
                row.state == item_state::running ||
                row.state == item_state::waiting ||
                is_unscored_text_due(job, row, min_events);
            const int new_events = row.output.event_count - row.saved_events;
            if (!is_unfinished || new_events < min_events ||
                total > max_bytes) {
                continue;
            }
            const auto begin = row.saved_bytes + (row.saved_events > 0 ? 1 : 0);
            total += row.output.bytes.size() - begin;
            parts.push_back(
                {id,
                 {static_cast<int>(n), row.epoch, row.saved_events, new_events,
                  row.output.last_event, row.output.bytes.substr(begin),
                  row.output.versions, row.failures}});
        }
    }
    return parts;
}

void item_scheduler::on_part_saved(const unsaved_part& part) {
    const auto job = jobs_.find(part.job);
    if (job == jobs_.end()) {
        return;
    }
    auto& row =
        job->second.items[static_cast<std::size_t>(part.part.item_index)];
    if (row.epoch != part.part.epoch ||
        row.saved_events != part.part.first_event) {
        return;
    }
    row.saved_bytes +=
        part.part.text.size() + (part.part.first_event > 0 ? 1 : 0);
    row.saved_events += part.part.event_count;
}

std::vector<item_timeline>
item_scheduler::item_timelines(const job_id& id) const {
    std::vector<item_timeline> timelines;
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return timelines;
    }
    int item_index = 0;
    for (const auto& row : job->second.items) {
        auto timeline = row.timeline;
        timeline.item_index = item_index++;
        timeline.event_count = row.output.event_count;
        timeline.expected_output_tokens = row.content.expected_output_tokens;
        timelines.push_back(timeline);
    }
    const auto time_to_ready = [](const item_timeline& timeline) {
        // Items that are not ready sort before all others.
        return timeline.ready_ms < 0 ? std::numeric_limits<base::millis>::max()
                                     : timeline.ready_ms;
    };
    std::stable_sort(timelines.begin(), timelines.end(),
                     [&](const auto& a, const auto& b) {
                         return time_to_ready(a) > time_to_ready(b);
                     });
    return timelines;
}

} // namespace hibiscus::batch
