#include "hibiscus/batch/work.hpp"
#include "work_limits.hpp"

#include <algorithm>

/// The texts of items that come again in a later job.
namespace hibiscus::batch {

namespace {

/// How long items run ahead of the job that will carry them, in ms: training
/// takes up to a second, and a trainer that is late by more may not carry them
/// at all. The same bounds when they begin; an ended job's items must not
/// start later than a few seconds after its end.
constexpr base::millis ahead_ms = 2000;

/// Texts of ended jobs are kept for so long, in ms: groups that were not
/// complete come again in the trainer's next job, some seconds later.
constexpr base::millis old_text_ms = 30000;

} // namespace

void work::reuse(job_state& job, item_row& row) {
    const auto old = old_texts_.find(row.content.id);
    if (old == old_texts_.end()) {
        return;
    }
    ++counts_.carried;
    const auto& versions = old->second.got.versions;
    const bool fits =
        std::all_of(versions.begin(), versions.end(),
                    [&](auto v) { return v >= job.header.least_version; });
    // That it outlasted its step before says more of its length than the
    // caller's guess.
    row.content.expected_tokens =
        std::max<std::int64_t>(row.content.expected_tokens,
                               2 * size_.tokens_of(old->second.got.events));
    row.carried = true;
    const bool usable = fits && table_.uses(base::mechanism::reuse_texts);
    if (!usable || versions.empty()) {
        counts_.void_events +=
            static_cast<std::uint64_t>(old->second.got.events);
        return;
    }
    ++counts_.reused_texts;
    row.got = old->second.got;
    if (old->second.complete) {
        row.at = state::judge_due;
        row.not_before = clock_.now();
    }
}

void work::keep_texts(const job_state& job) {
    const auto now = clock_.now();
    for (auto t = old_texts_.begin(); t != old_texts_.end();) {
        t = now - t->second.kept_at > old_text_ms ? old_texts_.erase(t)
                                                  : std::next(t);
    }
    const auto open = open_groups(job);
    for (const auto& row : job.items) {
        const bool complete =
            row.at != state::running && row.at != state::waiting;
        if (row.got.events == 0 || open.count(row.content.group) == 0 ||
            row.outcome == item_outcome::errored) {
            continue;
        }
        const auto known = old_texts_.find(row.content.id);
        // Of two texts of an item the one under newer weights is of use.
        if (known == old_texts_.end() ||
            known->second.got.versions.front() <= row.got.versions.front()) {
            old_texts_[row.content.id] = {row.got, complete, now};
        }
    }
}

/// Returns the groups that are not listed whole: their trainer may carry them,
/// with all their items.
std::set<std::string> work::open_groups(const job_state& job) {
    std::set<std::string> out;
    for (const auto& row : job.items) {
        if (row.at != state::done) {
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
void work::begin_ahead(const job_state& job) {
    const auto newest = newest_.find(job.header.model);
    if (newest == newest_.end()) {
        return;
    }
    const job_id id(job.header.id.str() + "~");
    job_state ahead;
    ahead.header = job.header;
    ahead.header.id = id;
    ahead.header.least_version = newest->second;
    ahead.terms = job.terms;
    ahead.seen_at = clock_.now();
    ahead.ahead_until = ahead.seen_at + ahead_ms;
    const auto open = open_groups(job);
    for (const auto& row : job.items) {
        const bool is_void = !row.got.versions.empty() &&
                             row.got.versions.front() < newest->second;
        if (open.count(row.content.group) == 0 || !is_void ||
            row.got.events < long_events ||
            row.outcome == item_outcome::errored) {
            continue;
        }
        item_row r;
        r.content = row.content;
        r.content.reward.reset();
        r.content.expected_tokens = 2 * size_.tokens_of(row.got.events);
        ahead.items.push_back(std::move(r));
        ++counts_.ahead;
    }
    if (!ahead.items.empty()) {
        jobs_[id] = std::move(ahead);
    }
}

effects work::drop_ahead(const std::string& model) {
    effects out;
    for (auto job = jobs_.begin(); job != jobs_.end();) {
        if (!job->second.ahead_until || job->second.header.model != model) {
            ++job;
            continue;
        }
        stop_runs(job->first, "job_came", out);
        keep_texts(job->second);
        job = jobs_.erase(job);
    }
    return out;
}

effects work::drop_overdue() {
    effects out;
    const auto now = clock_.now();
    std::set<std::string> models;
    for (const auto& [id, job] : jobs_) {
        if (job.ahead_until && now > *job.ahead_until) {
            models.insert(job.header.model);
        }
    }
    for (const auto& model : models) {
        const auto stops = drop_ahead(model);
        out.insert(out.end(), stops.begin(), stops.end());
    }
    return out;
}

} // namespace hibiscus::batch
