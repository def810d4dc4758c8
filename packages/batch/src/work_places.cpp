#include "hibiscus/batch/work.hpp"

#include <algorithm>
#include <tuple>

/// Which waiting items go where, and how many places they need.
namespace hibiscus::batch {

namespace {

/// Runs that expect more tokens than this are long; they go first where
/// memory is short, since a long run that is read in anew is late.
constexpr std::int64_t long_tokens = 3000;

constexpr int carried_priority = 1;

constexpr int long_priority = 3;

constexpr int usual_priority = 5;

/// Puts what runs ahead behind all jobs, in ms: more than any job lasts.
constexpr base::millis after_all_jobs_ms = 3600000;

/// For how many times the items that were open at once there should be places:
/// the models of other trainers take some of those that are free now.
constexpr double spare_places = 1.5;

/// How long the most items that were open at once are remembered, in ms: some
/// steps.
constexpr base::millis peak_age_ms = 60000;

} // namespace

effects work::place_waiting(bool may_start) {
    effects out;
    if (may_start) {
        place(out);
    }
    return out;
}

void work::place(effects& out) {
    struct candidate {
        base::millis due;
        bool is_new;
        std::int64_t left;
        const job_id* job;
        int number;
    };
    const auto now = clock_.now();
    const bool longest_first = table_.uses(base::mechanism::longest_first);
    std::vector<candidate> queue;
    for (auto& [id, job] : jobs_) {
        for (std::size_t n = 0; n < job.items.size(); ++n) {
            const auto& row = job.items[n];
            if (row.at == state::waiting && now >= row.not_before) {
                const auto due = job.seen_at + job.terms.due_ms +
                                 (job.ahead_until ? after_all_jobs_ms : 0);
                const auto left =
                    longest_first ? -row.content.expected_tokens : 0;
                queue.push_back(
                    {due, !row.carried, left, &id, static_cast<int>(n)});
            }
        }
    }
    std::sort(queue.begin(), queue.end(), [](const auto& a, const auto& b) {
        return std::tie(a.due, a.is_new, a.left, a.number) <
               std::tie(b.due, b.is_new, b.left, b.number);
    });
    samplers::run_places places(table_, now);
    for (const auto& c : queue) {
        auto& job = jobs_.at(*c.job);
        auto& row = job.items[static_cast<std::size_t>(c.number)];
        const auto needs = needs_of(job, row);
        const auto to = place_for(places, needs, row);
        if (!to) {
            // Jobs differ in the weights that they admit; others may fit.
            continue;
        }
        const auto run = ++last_run_;
        runs_[run] = {*c.job, c.number, *to, now, now, 0, 0, needs.tokens};
        table_.started(*to, needs.tokens);
        places.changed(*to);
        row.at = state::running;
        if (row.failed_at.count(*to) != 0) {
            // All that are left have failed it: each has its turn again.
            row.failed_at.clear();
        }
        ++row.life.runs;
        if (row.life.first_start < 0) {
            row.life.first_start = now - job.seen_at;
        }
        ++counts_.runs;
        out.push_back(start_run{
            run, *to, *c.job, c.number, job.header.host, job.header.model,
            &row.content, row.got.last_event, priority_of(row),
            std::max<base::millis>(1000,
                                   job.seen_at + job.terms.keep_ms - now)});
    }
}

/// A server may fail each run that it gets while all others would serve it;
/// the cheapest place is then at that server again.
std::optional<samplers::sampler_id>
work::place_for(samplers::run_places& places, const samplers::run_needs& needs,
                const item_row& row) const {
    if (row.failed_at.empty()) {
        return places.best(needs);
    }
    auto other = places.best(needs, row.failed_at);
    const bool waits = clock_.now() < row.avoid_failed_until &&
                       places.exists(needs, row.failed_at);
    return other || waits ? other : places.best(needs);
}

int work::priority_of(const item_row& row) const {
    if (!table_.uses(base::mechanism::priorities)) {
        return usual_priority;
    }
    if (row.carried) {
        return carried_priority;
    }
    return row.content.expected_tokens > long_tokens ? long_priority
                                                     : usual_priority;
}

samplers::run_needs work::needs_of(const job_state& job,
                                   const item_row& row) const {
    const auto written = std::max<std::int64_t>(
        row.content.expected_tokens, size_.tokens_of(row.got.events));
    return {job.terms.service, job.header.model, job.header.least_version,
            row.content.prompt_tokens + written};
}

std::map<std::string, int> work::places_wanted() {
    struct count {
        int open = 0;
        int running = 0;
    };
    std::map<std::string, count> now_open;
    for (const auto& [id, job] : jobs_) {
        auto& c = now_open[job.header.model];
        for (const auto& row : job.items) {
            c.running += row.at == state::running ? 1 : 0;
            c.open += row.at == state::running || row.at == state::waiting;
        }
    }
    const auto now = clock_.now();
    std::map<std::string, int> out;
    for (const auto& [model, c] : now_open) {
        auto& peak = open_peaks_[model];
        if (c.open >= peak.items || now - peak.seen_at > peak_age_ms) {
            peak = {c.open, now};
        }
        out[model] = static_cast<int>(spare_places * peak.items) - c.running;
    }
    return out;
}

std::vector<waiting_items> work::waits() const {
    const auto now = clock_.now();
    const samplers::run_places places(table_, now);
    std::map<std::tuple<samplers::service_name, std::string, weight_version>,
             waiting_items>
        kinds;
    for (const auto& [id, job] : jobs_) {
        for (const auto& row : job.items) {
            if (row.at != state::waiting || job.ahead_until) {
                continue;
            }
            const auto needs = needs_of(job, row);
            auto& kind = kinds[{needs.service, needs.model, needs.least}];
            if (kind.items++ == 0) {
                kind.model = needs.model;
                kind.least_version = needs.least;
                kind.servers = places.count(needs);
            }
            kind.longest_ms = std::max(kind.longest_ms, now - row.served_at);
        }
    }
    std::vector<waiting_items> out;
    out.reserve(kinds.size());
    for (auto& kind : kinds) {
        out.push_back(std::move(kind.second));
    }
    return out;
}

int work::waiting() const {
    int n = 0;
    for (const auto& [id, job] : jobs_) {
        if (job.ahead_until) {
            continue;
        }
        n += static_cast<int>(std::count_if(
            job.items.begin(), job.items.end(),
            [](const auto& r) { return r.at == state::waiting; }));
    }
    return n;
}

} // namespace hibiscus::batch
