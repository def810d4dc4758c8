#include "hibiscus/batch/item_scheduler.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>
#include <limits>

namespace hibiscus::batch {

namespace {

/// The pause before an item goes out again after an answer that says nothing
/// of the item, in ms; the server itself is left alone for longer.
constexpr base::millis retry_pause_ms = 20;

/// How long a server that refused is left alone, in ms: a load of weights
/// takes 0.9 s, a full queue drains sooner.
constexpr base::millis refusal_block_ms = 250;

/// How long a server that is another than expected is left alone, in ms: its
/// entry is renewed each 1.2 s.
constexpr base::millis other_server_block_ms = 600;

/// How long an item goes only to other servers than those at which its runs
/// failed, in ms, if there are any.
constexpr base::millis avoid_failed_servers_ms = 500;

/// The pause before a reward call is made again, in ms.
constexpr base::millis reward_retry_pause_ms = 100;

/// A tick that comes so long after the one before shows that the owner's
/// thread was held up, in ms.
constexpr base::millis late_tick_threshold_ms = 100;

void add_version(std::vector<weight_version>& versions, weight_version v) {
    if (std::find(versions.begin(), versions.end(), v) == versions.end()) {
        versions.push_back(v);
    }
}

} // namespace

item_scheduler::item_scheduler(base::clock clock,
                               samplers::sampler_table& table)
    : clock_(std::move(clock)), table_(table),
      stall_detector_(tick_ms, late_tick_threshold_ms) {
    stall_detector_.start(clock_.now());
}

effects item_scheduler::add_job(
    const job_row& row, std::vector<item> items,
    const std::map<int, std::vector<progress_part>>& progress,
    const job_options& terms, std::int64_t epoch) {
    const auto id = row.header->id;
    if (has_job(id)) {
        return {};
    }
    auto out = remove_speculative_jobs(row.header->model);
    auto& job = jobs_[id];
    job.header = *row.header;
    job.options = terms;
    job.first_seen_at = row.first_seen_at;
    int number = 0;
    for (auto& i : items) {
        item_row r;
        r.content = std::move(i);
        r.epoch = epoch;
        r.last_served_at = clock_.now();
        if (row.committed_items.count(number) != 0) {
            r.state = item_state::committed;
        } else {
            reuse_cached_text(job, r);
        }
        const auto parts = progress.find(number);
        if (r.state == item_state::waiting && parts != progress.end()) {
            auto s = join_progress_parts(parts->second);
            r.failures = s.failures;
            if (s.event_count > r.output.event_count) {
                r.output = {std::move(s.text), s.event_count,
                            std::move(s.last_event), std::move(s.versions)};
            }
        }
        job.items.push_back(std::move(r));
        ++number;
    }
    return out;
}

void item_scheduler::announce_version(const std::string& model,
                                      weight_version version) {
    auto& newest = newest_versions_[model];
    newest = std::max(newest, version);
}

void item_scheduler::cancel_runs(const job_id& id, const char* reason,
                                 effects& out) {
    std::vector<run_number> stopped;
    for (const auto& [run, row] : runs_) {
        if (row.job == id) {
            stopped.push_back(run);
        }
    }
    for (const auto run : stopped) {
        cancel_run(run, reason, out);
    }
}

effects item_scheduler::remove_job(const job_id& id) {
    effects out;
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return out;
    }
    cancel_runs(id, "job_ended", out);
    cache_texts(job->second);
    const auto ended = std::move(job->second);
    jobs_.erase(job);
    if (table_.is_enabled(base::feature::run_ahead)) {
        add_speculative_job(ended);
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
    return out;
}

effects item_scheduler::on_committed(const job_id& id,
                                     const std::set<int>& numbers) {
    effects out;
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return out;
    }
    for (const int n : numbers) {
        if (n < static_cast<int>(job->second.items.size()) &&
            job->second.items[static_cast<std::size_t>(n)].state !=
                item_state::committed) {
            commit_item(id, job->second, n, out);
        }
    }
    return out;
}

void item_scheduler::commit_item(const job_id& id, job_state& job, int number,
                                 effects& out) {
    for (const auto& [run, row] : runs_) {
        if (row.job == id && row.item_index == number) {
            cancel_run(run, "listed", out);
            break;
        }
    }
    auto& row = job.items[static_cast<std::size_t>(number)];
    row.state = item_state::committed;
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
    const auto at = runs_.find(run);
    if (at == runs_.end()) {
        return;
    }
    table_.on_request_ended(at->second.sampler, at->second.reserved_tokens);
    out.push_back(stop_run{run, reason});
    runs_.erase(at);
}

void item_scheduler::requeue(item_row& row, base::millis pause) {
    row.state = item_state::waiting;
    row.not_before = clock_.now() + pause;
}

void item_scheduler::discard_output(item_row& row) {
    row.output = {};
    row.saved_events = 0;
    row.saved_bytes = 0;
    ++row.epoch;
}

void item_scheduler::discount_stall() {
    const auto now = clock_.now();
    const auto held_up = stall_detector_.tick(now);
    for (auto& [number, run] : runs_) {
        run.last_heard_at = std::min(now, run.last_heard_at + held_up);
    }
}

effects item_scheduler::tick(bool may_start) {
    discount_stall();
    // First of all what must not go on: a process that stood still would
    // otherwise begin items of a job that ended long ago.
    auto out = remove_expired_speculative_jobs();
    if (may_start) {
        move_runs(out);
        place_items(out);
    }
    const auto now = clock_.now();
    for (auto& [id, job] : jobs_) {
        for (std::size_t n = 0; n < job.items.size(); ++n) {
            auto& row = job.items[n];
            if (row.state == item_state::reward_pending &&
                now >= row.not_before) {
                finish_text(id, static_cast<int>(n), out);
            }
            if (row.state == item_state::waiting &&
                job.options.item_expiry_ms > 0 &&
                now - job.first_seen_at > job.options.item_expiry_ms) {
                row.outcome = item_outcome::errored;
                row.state = item_state::ready;
            }
        }
    }
    return out;
}

effects item_scheduler::on_response_started(run_number run,
                                            weight_version version) {
    effects out;
    const auto at = runs_.find(run);
    if (at == runs_.end()) {
        return out;
    }
    at->second.version = version;
    at->second.last_heard_at = clock_.now();
    auto* item = find_item(at->second);
    item->last_served_at = clock_.now();
    const auto& job = jobs_.at(at->second.job);
    table_.set_observed_version(at->second.sampler, job.header.model, version);
    if (version < job.header.min_version) {
        // The table was wrong about the server; the text would be too old.
        cancel_run(run, "old_weights", out);
        requeue(*item, retry_pause_ms);
    }
    return out;
}

effects item_scheduler::on_event(run_number run, const std::string& id,
                                 const std::string& data,
                                 std::optional<weight_version> version) {
    effects out;
    const auto at = runs_.find(run);
    if (at == runs_.end()) {
        return out;
    }
    auto& r = at->second;
    auto& job = jobs_.at(r.job);
    auto& row = *find_item(r);
    const auto now = clock_.now();
    if (r.event_count > 0) {
        table_.on_event(r.sampler, now - r.last_heard_at);
    }
    r.last_heard_at = now;
    row.last_served_at = now;
    ++r.event_count;
    if (version) {
        r.version = *version;
        table_.set_observed_version(r.sampler, job.header.model, *version);
    }
    if (job.options.single_version && !row.output.versions.empty() &&
        row.output.versions.back() != r.version) {
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
    add_version(row.output.versions, r.version);
    return out;
}

effects item_scheduler::on_run_ended(run_number run, run_outcome end) {
    effects out;
    const auto at = runs_.find(run);
    if (at == runs_.end()) {
        return out;
    }
    const auto r = at->second;
    runs_.erase(at);
    table_.on_request_ended(r.sampler, r.reserved_tokens);
    auto& row = *find_item(r);
    const auto& terms = jobs_.at(r.job).options;
    switch (end) {
    case run_outcome::complete:
        finish_text(r.job, r.item_index, out);
        break;
    case run_outcome::cut:
        table_.on_failure(r.sampler);
        requeue(row, retry_pause_ms);
        break;
    case run_outcome::not_run:
        table_.block(r.sampler, refusal_block_ms);
        requeue(row, 0);
        break;
    case run_outcome::other_server:
        table_.block(r.sampler, other_server_block_ms);
        requeue(row, 0);
        break;
    case run_outcome::failed:
        ++row.failures;
        row.failed_servers.insert(r.sampler);
        row.avoid_failed_servers_until = clock_.now() + avoid_failed_servers_ms;
        if (row.failures >= terms.max_attempts) {
            row.outcome = item_outcome::errored;
            row.state = item_state::ready;
        } else {
            requeue(row, retry_pause_ms);
        }
        break;
    case run_outcome::impossible:
        row.outcome = item_outcome::errored;
        row.state = item_state::ready;
        break;
    }
    return out;
}

void item_scheduler::finish_text(const job_id& id, int number, effects& out) {
    auto& job = jobs_.at(id);
    auto& row = job.items[static_cast<std::size_t>(number)];
    if (row.timeline.text_complete_ms < 0) {
        row.timeline.text_complete_ms = clock_.now() - job.first_seen_at;
        if (!row.is_resubmitted) {
            token_estimator_.add_sample(row.content.expected_output_tokens,
                                        row.output.event_count);
        }
    }
    if (row.content.reward) {
        row.state = item_state::reward_in_flight;
        out.push_back(start_reward{id, number, &*row.content.reward});
    } else {
        row.state = item_state::ready;
    }
}

effects item_scheduler::on_reward_ended(const job_id& id, int number,
                                        const reward_outcome& outcome) {
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return {};
    }
    auto& row = job->second.items[static_cast<std::size_t>(number)];
    if (row.state != item_state::reward_in_flight) {
        return {};
    }
    std::visit(base::overloaded{
                   [&](const reward_score& r) {
                       row.score = r.score;
                       row.state = item_state::ready;
                       row.timeline.ready_ms =
                           clock_.now() - job->second.first_seen_at;
                   },
                   [&](const reward_failure& f) {
                       // Sends that were refused or lost say
                       // nothing of the text; only failed answers
                       // count.
                       row.reward_failures += f.failed_responses;
                       if (row.reward_failures >= f.max_failed_responses) {
                           row.outcome = item_outcome::errored;
                           row.state = item_state::ready;
                           row.timeline.ready_ms =
                               clock_.now() - job->second.first_seen_at;
                           return;
                       }
                       row.state = item_state::reward_pending;
                       row.not_before = clock_.now() + reward_retry_pause_ms;
                   }},
               outcome);
    return {};
}

std::vector<ready_result>
item_scheduler::ready_results(std::size_t bytes,
                              const std::set<job_id>& except) const {
    std::vector<ready_result> out;
    std::size_t total = 0;
    for (const auto& [id, job] : jobs_) {
        if (job.speculative_until || except.count(id) != 0) {
            continue;
        }
        for (std::size_t n = 0; n < job.items.size(); ++n) {
            const auto& row = job.items[n];
            if (row.state != item_state::ready || total > bytes) {
                continue;
            }
            const bool good = row.outcome == item_outcome::succeeded;
            total += row.output.bytes.size();
            out.push_back(
                {id,
                 static_cast<int>(n),
                 {row.content.id, row.outcome,
                  good ? row.output.bytes : std::string(),
                  good ? row.output.versions : std::vector<weight_version>(),
                  row.score}});
        }
    }
    return out;
}

std::vector<unsaved_part>
item_scheduler::unsaved_parts(int least, std::size_t bytes) const {
    std::vector<unsaved_part> out;
    std::size_t total = 0;
    for (const auto& [id, job] : jobs_) {
        for (std::size_t n = 0; !job.speculative_until && n < job.items.size();
             ++n) {
            const auto& row = job.items[n];
            const bool going = row.state == item_state::running ||
                               row.state == item_state::waiting;
            const int fresh = row.output.event_count - row.saved_events;
            if (!going || fresh < least || total > bytes) {
                continue;
            }
            const auto from = row.saved_bytes + (row.saved_events > 0 ? 1 : 0);
            total += row.output.bytes.size() - from;
            out.push_back(
                {id,
                 {static_cast<int>(n), row.epoch, row.saved_events, fresh,
                  row.output.last_event, row.output.bytes.substr(from),
                  row.output.versions, row.failures}});
        }
    }
    return out;
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
    std::vector<item_timeline> out;
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return out;
    }
    int number = 0;
    for (const auto& row : job->second.items) {
        auto life = row.timeline;
        life.item_index = number++;
        life.event_count = row.output.event_count;
        life.expected_output_tokens = row.content.expected_output_tokens;
        out.push_back(life);
    }
    const auto took = [](const item_timeline& l) {
        // What is not ready took longer than all that is.
        return l.ready_ms < 0 ? std::numeric_limits<base::millis>::max()
                              : l.ready_ms;
    };
    std::stable_sort(out.begin(), out.end(), [&](const auto& a, const auto& b) {
        return took(a) > took(b);
    });
    return out;
}

} // namespace hibiscus::batch
