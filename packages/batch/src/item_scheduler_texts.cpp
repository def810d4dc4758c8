#include "hibiscus/batch/item_scheduler.hpp"
#include "item_scheduler_limits.hpp"

#include <algorithm>

/// The texts of items that come again in a later job.
namespace hibiscus::batch {

namespace {

/// How long items run ahead of the job that will carry them, in ms: training
/// takes up to a second, and a trainer that is late by more may not carry them
/// at all. The same bounds when they begin; an ended job's items must not
/// start later than a few seconds after its end.
constexpr base::millis speculative_job_ttl_ms = 2000;

/// Texts of ended jobs are kept for so long, in ms: groups that were not
/// complete come again in the trainer's next job, some seconds later.
constexpr base::millis cached_text_ttl_ms = 30000;

} // namespace

void item_scheduler::reuse_cached_text(job_state& job, item_row& row) {
    const auto old = cached_texts_.find(row.content.id);
    if (old == cached_texts_.end()) {
        return;
    }
    ++counts_.resubmitted_items;
    const auto& versions = old->second.output.versions;
    const bool fits =
        std::all_of(versions.begin(), versions.end(),
                    [&](auto v) { return v >= job.header.min_version; });
    // That it outlasted its step before says more of its length than the
    // caller's guess.
    row.content.expected_output_tokens = std::max<std::int64_t>(
        row.content.expected_output_tokens,
        2 * token_estimator_.estimate_tokens(old->second.output.event_count));
    row.is_resubmitted = true;
    const bool usable = fits && table_.is_enabled(base::feature::reuse_texts);
    if (!usable || versions.empty()) {
        counts_.discarded_events +=
            static_cast<std::uint64_t>(old->second.output.event_count);
        return;
    }
    ++counts_.reused_texts;
    row.output = old->second.output;
    if (old->second.complete) {
        row.state = item_state::reward_pending;
        row.not_before = clock_.now();
    }
}

void item_scheduler::cache_texts(const job_state& job) {
    const auto now = clock_.now();
    for (auto t = cached_texts_.begin(); t != cached_texts_.end();) {
        t = now - t->second.cached_at > cached_text_ttl_ms
                ? cached_texts_.erase(t)
                : std::next(t);
    }
    const auto open = incomplete_groups(job);
    for (const auto& row : job.items) {
        const bool complete = row.state != item_state::running &&
                              row.state != item_state::waiting;
        if (row.output.event_count == 0 || open.count(row.content.group) == 0 ||
            row.outcome == item_outcome::errored) {
            continue;
        }
        const auto known = cached_texts_.find(row.content.id);
        // Of two texts of an item the one under newer weights is of use.
        if (known == cached_texts_.end() ||
            known->second.output.versions.front() <=
                row.output.versions.front()) {
            cached_texts_[row.content.id] = {row.output, complete, now};
        }
    }
}

/// Returns the groups that are not listed whole: their trainer may carry them,
/// with all their items.
std::set<std::string> item_scheduler::incomplete_groups(const job_state& job) {
    std::set<std::string> out;
    for (const auto& row : job.items) {
        if (row.state != item_state::committed) {
            out.insert(row.content.group);
        }
    }
    return out;
}

/// The groups that a trainer did not wait for come again in a step that admits
/// only weights which were not there when they began, and which then waits for
/// them whatever else is complete. While the trainer trains, places are free:
/// the longest of them begin at once under the newest weights. A step of 7.2 s
/// ends sooner by the time of training, 0.5 to 1 s.
void item_scheduler::add_speculative_job(const job_state& job) {
    const auto newest = newest_versions_.find(job.header.model);
    if (newest == newest_versions_.end()) {
        return;
    }
    const job_id id(job.header.id.str() + "~");
    job_state ahead;
    ahead.header = job.header;
    ahead.header.id = id;
    ahead.header.min_version = newest->second;
    ahead.options = job.options;
    ahead.first_seen_at = clock_.now();
    ahead.speculative_until = ahead.first_seen_at + speculative_job_ttl_ms;
    const auto open = incomplete_groups(job);
    for (const auto& row : job.items) {
        const bool is_void = !row.output.versions.empty() &&
                             row.output.versions.front() < newest->second;
        if (open.count(row.content.group) == 0 || !is_void ||
            row.output.event_count < long_run_events ||
            row.outcome == item_outcome::errored) {
            continue;
        }
        item_row r;
        r.content = row.content;
        r.content.reward.reset();
        r.content.expected_output_tokens =
            2 * token_estimator_.estimate_tokens(row.output.event_count);
        ahead.items.push_back(std::move(r));
        ++counts_.speculative_items;
    }
    if (!ahead.items.empty()) {
        jobs_[id] = std::move(ahead);
    }
}

effects item_scheduler::remove_speculative_jobs(const std::string& model) {
    effects out;
    for (auto job = jobs_.begin(); job != jobs_.end();) {
        if (!job->second.speculative_until ||
            job->second.header.model != model) {
            ++job;
            continue;
        }
        cancel_runs(job->first, "job_came", out);
        cache_texts(job->second);
        job = jobs_.erase(job);
    }
    return out;
}

effects item_scheduler::remove_expired_speculative_jobs() {
    effects out;
    const auto now = clock_.now();
    std::set<std::string> models;
    for (const auto& [id, job] : jobs_) {
        if (job.speculative_until && now > *job.speculative_until) {
            models.insert(job.header.model);
        }
    }
    for (const auto& model : models) {
        const auto stops = remove_speculative_jobs(model);
        out.insert(out.end(), stops.begin(), stops.end());
    }
    return out;
}

} // namespace hibiscus::batch
