#include "hibiscus/batch/work.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>
#include <limits>

namespace hibiscus::batch {

namespace {

/// The pause before an item goes out again after an answer that says nothing
/// of the item, in ms; the server itself is left alone for longer.
constexpr base::millis retry_ms = 20;

/// How long a server that refused is left alone, in ms: a load of weights
/// takes 0.9 s, a full queue drains sooner.
constexpr base::millis refusal_ms = 250;

/// How long a server that is another than expected is left alone, in ms: its
/// entry is renewed each 1.2 s.
constexpr base::millis other_server_ms = 600;

/// How long an item goes only to other servers than those at which its runs
/// failed, in ms, if there are any.
constexpr base::millis avoid_failed_ms = 500;

/// The pause before a reward call is made again, in ms.
constexpr base::millis reward_retry_ms = 100;

/// A tick that comes so long after the one before shows that the owner's
/// thread was held up, in ms.
constexpr base::millis late_tick_ms = 100;

void add_version(std::vector<weight_version>& versions, weight_version v) {
    if (std::find(versions.begin(), versions.end(), v) == versions.end()) {
        versions.push_back(v);
    }
}

} // namespace

work::work(base::clock clock, samplers::sampler_table& table)
    : clock_(std::move(clock)), table_(table), delay_(tick_ms, late_tick_ms) {
    delay_.begin(clock_.now());
}

effects work::adopt(const job_row& row, std::vector<item> items,
                    const std::map<int, std::vector<progress_part>>& progress,
                    const job_terms& terms, std::int64_t epoch) {
    const auto id = row.header->id;
    if (has(id)) {
        return {};
    }
    auto out = drop_ahead(row.header->model);
    auto& job = jobs_[id];
    job.header = *row.header;
    job.terms = terms;
    job.seen_at = row.seen_at;
    int number = 0;
    for (auto& i : items) {
        item_row r;
        r.content = std::move(i);
        r.epoch = epoch;
        r.served_at = clock_.now();
        if (row.listed.count(number) != 0) {
            r.at = state::done;
        } else {
            reuse(job, r);
        }
        const auto parts = progress.find(number);
        if (r.at == state::waiting && parts != progress.end()) {
            auto s = join_parts(parts->second);
            r.failures = s.failures;
            if (s.events > r.got.events) {
                r.got = {std::move(s.text), s.events, std::move(s.last_event),
                         std::move(s.versions)};
            }
        }
        job.items.push_back(std::move(r));
        ++number;
    }
    return out;
}

void work::version_named(const std::string& model, weight_version version) {
    auto& newest = newest_[model];
    newest = std::max(newest, version);
}

void work::stop_runs(const job_id& id, const char* reason, effects& out) {
    std::vector<run_number> stopped;
    for (const auto& [run, row] : runs_) {
        if (row.job == id) {
            stopped.push_back(run);
        }
    }
    for (const auto run : stopped) {
        stop(run, reason, out);
    }
}

effects work::drop(const job_id& id) {
    effects out;
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return out;
    }
    stop_runs(id, "job_ended", out);
    keep_texts(job->second);
    const auto ended = std::move(job->second);
    jobs_.erase(job);
    if (table_.uses(base::mechanism::run_ahead)) {
        begin_ahead(ended);
    }
    return out;
}

effects work::drop_all() {
    effects out;
    while (!runs_.empty()) {
        stop(runs_.begin()->first, "owner_changed", out);
    }
    jobs_.clear();
    old_texts_.clear();
    return out;
}

effects work::listed(const job_id& id, const std::set<int>& numbers) {
    effects out;
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return out;
    }
    for (const int n : numbers) {
        if (n < static_cast<int>(job->second.items.size()) &&
            job->second.items[static_cast<std::size_t>(n)].at != state::done) {
            list_one(id, job->second, n, out);
        }
    }
    return out;
}

void work::list_one(const job_id& id, job_state& job, int number,
                    effects& out) {
    for (const auto& [run, row] : runs_) {
        if (row.job == id && row.number == number) {
            stop(run, "listed", out);
            break;
        }
    }
    auto& row = job.items[static_cast<std::size_t>(number)];
    row.at = state::done;
}

work::item_row* work::row_of(const run_row& run) {
    const auto job = jobs_.find(run.job);
    if (job == jobs_.end()) {
        return nullptr;
    }
    return &job->second.items[static_cast<std::size_t>(run.number)];
}

void work::stop(run_number run, const char* reason, effects& out) {
    const auto at = runs_.find(run);
    if (at == runs_.end()) {
        return;
    }
    table_.ended(at->second.sampler, at->second.tokens);
    out.push_back(stop_run{run, reason});
    runs_.erase(at);
}

void work::requeue(item_row& row, base::millis pause) {
    row.at = state::waiting;
    row.not_before = clock_.now() + pause;
}

void work::restart(item_row& row) {
    row.got = {};
    row.saved_events = 0;
    row.saved_bytes = 0;
    ++row.epoch;
}

void work::leave_out_own_delay() {
    const auto now = clock_.now();
    const auto held_up = delay_.look(now);
    for (auto& [number, run] : runs_) {
        run.heard_at = std::min(now, run.heard_at + held_up);
    }
}

effects work::tick(bool may_start) {
    leave_out_own_delay();
    // First of all what must not go on: a process that stood still would
    // otherwise begin items of a job that ended long ago.
    auto out = drop_overdue();
    if (may_start) {
        move(out);
        place(out);
    }
    const auto now = clock_.now();
    for (auto& [id, job] : jobs_) {
        for (std::size_t n = 0; n < job.items.size(); ++n) {
            auto& row = job.items[n];
            if (row.at == state::judge_due && now >= row.not_before) {
                finish_text(id, static_cast<int>(n), out);
            }
            if (row.at == state::waiting && job.terms.keep_ms > 0 &&
                now - job.seen_at > job.terms.keep_ms) {
                row.outcome = item_outcome::errored;
                row.at = state::ready;
            }
        }
    }
    return out;
}

effects work::head(run_number run, weight_version version) {
    effects out;
    const auto at = runs_.find(run);
    if (at == runs_.end()) {
        return out;
    }
    at->second.version = version;
    at->second.heard_at = clock_.now();
    auto* item = row_of(at->second);
    item->served_at = clock_.now();
    const auto& job = jobs_.at(at->second.job);
    table_.saw_version(at->second.sampler, job.header.model, version);
    if (version < job.header.least_version) {
        // The table was wrong about the server; the text would be too old.
        stop(run, "old_weights", out);
        requeue(*item, retry_ms);
    }
    return out;
}

effects work::event(run_number run, const std::string& id,
                    const std::string& data,
                    std::optional<weight_version> version) {
    effects out;
    const auto at = runs_.find(run);
    if (at == runs_.end()) {
        return out;
    }
    auto& r = at->second;
    auto& job = jobs_.at(r.job);
    auto& row = *row_of(r);
    const auto now = clock_.now();
    if (r.events > 0) {
        table_.event(r.sampler, now - r.heard_at);
    }
    r.heard_at = now;
    row.served_at = now;
    ++r.events;
    if (version) {
        r.version = *version;
        table_.saw_version(r.sampler, job.header.model, *version);
    }
    if (job.terms.single_version && !row.got.versions.empty() &&
        row.got.versions.back() != r.version) {
        stop(run, "mixed_versions", out);
        restart(row);
        requeue(row, 0);
        return out;
    }
    if (row.got.events > 0) {
        row.got.bytes += '\n';
    }
    row.got.bytes += data;
    row.got.last_event = id;
    ++row.got.events;
    add_version(row.got.versions, r.version);
    return out;
}

effects work::ended(run_number run, run_end end) {
    effects out;
    const auto at = runs_.find(run);
    if (at == runs_.end()) {
        return out;
    }
    const auto r = at->second;
    runs_.erase(at);
    table_.ended(r.sampler, r.tokens);
    auto& row = *row_of(r);
    const auto& terms = jobs_.at(r.job).terms;
    switch (end) {
    case run_end::complete:
        finish_text(r.job, r.number, out);
        break;
    case run_end::cut:
        table_.failed(r.sampler);
        requeue(row, retry_ms);
        break;
    case run_end::not_run:
        table_.block(r.sampler, refusal_ms);
        requeue(row, 0);
        break;
    case run_end::other_server:
        table_.block(r.sampler, other_server_ms);
        requeue(row, 0);
        break;
    case run_end::failed:
        ++row.failures;
        row.failed_at.insert(r.sampler);
        row.avoid_failed_until = clock_.now() + avoid_failed_ms;
        if (row.failures >= terms.attempts) {
            row.outcome = item_outcome::errored;
            row.at = state::ready;
        } else {
            requeue(row, retry_ms);
        }
        break;
    case run_end::impossible:
        row.outcome = item_outcome::errored;
        row.at = state::ready;
        break;
    }
    return out;
}

void work::finish_text(const job_id& id, int number, effects& out) {
    auto& job = jobs_.at(id);
    auto& row = job.items[static_cast<std::size_t>(number)];
    if (row.life.text_complete < 0) {
        row.life.text_complete = clock_.now() - job.seen_at;
        if (!row.carried) {
            size_.text_ended(row.content.expected_tokens, row.got.events);
        }
    }
    if (row.content.reward) {
        row.at = state::judged;
        out.push_back(start_reward{id, number, &*row.content.reward});
    } else {
        row.at = state::ready;
    }
}

effects work::reward_ended(const job_id& id, int number,
                           const reward_outcome& outcome) {
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return {};
    }
    auto& row = job->second.items[static_cast<std::size_t>(number)];
    if (row.at != state::judged) {
        return {};
    }
    std::visit(base::overloaded{
                   [&](const rewarded& r) {
                       row.score = r.score;
                       row.at = state::ready;
                       row.life.ready = clock_.now() - job->second.seen_at;
                   },
                   [&](const reward_failed& f) {
                       // Sends that were refused or lost say
                       // nothing of the text; only failed answers
                       // count.
                       row.reward_failures += f.failures;
                       if (row.reward_failures >= f.allowed) {
                           row.outcome = item_outcome::errored;
                           row.at = state::ready;
                           row.life.ready = clock_.now() - job->second.seen_at;
                           return;
                       }
                       row.at = state::judge_due;
                       row.not_before = clock_.now() + reward_retry_ms;
                   }},
               outcome);
    return {};
}

std::vector<ready_result> work::ready(std::size_t bytes,
                                      const std::set<job_id>& except) const {
    std::vector<ready_result> out;
    std::size_t total = 0;
    for (const auto& [id, job] : jobs_) {
        if (job.ahead_until || except.count(id) != 0) {
            continue;
        }
        for (std::size_t n = 0; n < job.items.size(); ++n) {
            const auto& row = job.items[n];
            if (row.at != state::ready || total > bytes) {
                continue;
            }
            const bool good = row.outcome == item_outcome::succeeded;
            total += row.got.bytes.size();
            out.push_back(
                {id,
                 static_cast<int>(n),
                 {row.content.id, row.outcome,
                  good ? row.got.bytes : std::string(),
                  good ? row.got.versions : std::vector<weight_version>(),
                  row.score}});
        }
    }
    return out;
}

std::vector<unsaved_part> work::unsaved(int least, std::size_t bytes) const {
    std::vector<unsaved_part> out;
    std::size_t total = 0;
    for (const auto& [id, job] : jobs_) {
        for (std::size_t n = 0; !job.ahead_until && n < job.items.size(); ++n) {
            const auto& row = job.items[n];
            const bool going =
                row.at == state::running || row.at == state::waiting;
            const int fresh = row.got.events - row.saved_events;
            if (!going || fresh < least || total > bytes) {
                continue;
            }
            const auto from = row.saved_bytes + (row.saved_events > 0 ? 1 : 0);
            total += row.got.bytes.size() - from;
            out.push_back(
                {id,
                 {static_cast<int>(n), row.epoch, row.saved_events, fresh,
                  row.got.last_event, row.got.bytes.substr(from),
                  row.got.versions, row.failures}});
        }
    }
    return out;
}

void work::saved(const unsaved_part& part) {
    const auto job = jobs_.find(part.job);
    if (job == jobs_.end()) {
        return;
    }
    auto& row = job->second.items[static_cast<std::size_t>(part.part.item)];
    if (row.epoch != part.part.epoch || row.saved_events != part.part.from) {
        return;
    }
    row.saved_bytes += part.part.text.size() + (part.part.from > 0 ? 1 : 0);
    row.saved_events += part.part.events;
}

std::vector<item_life> work::lives(const job_id& id) const {
    std::vector<item_life> out;
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
        return out;
    }
    int number = 0;
    for (const auto& row : job->second.items) {
        auto life = row.life;
        life.number = number++;
        life.events = row.got.events;
        life.expected_tokens = row.content.expected_tokens;
        out.push_back(life);
    }
    const auto took = [](const item_life& l) {
        // What is not ready took longer than all that is.
        return l.ready < 0 ? std::numeric_limits<base::millis>::max() : l.ready;
    };
    std::stable_sort(out.begin(), out.end(), [&](const auto& a, const auto& b) {
        return took(a) > took(b);
    });
    return out;
}

} // namespace hibiscus::batch
