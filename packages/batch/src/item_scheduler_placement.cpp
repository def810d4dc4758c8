#include "hibiscus/batch/item_scheduler.hpp"

#include <algorithm>
#include <tuple>

/// Which waiting items go where, and how many places they need.
namespace hibiscus::batch {

namespace {

/// Runs that expect more tokens than this are long; they go first where
/// memory is short, since a long run that is read in anew is late.
constexpr std::int64_t long_run_tokens = 3000;

constexpr int resubmitted_priority = 1;

constexpr int long_run_priority = 3;

constexpr int default_priority = 5;

/// Puts what runs ahead behind all jobs, in ms: more than any job lasts.
constexpr base::millis speculative_delay_ms = 3600000;

/// For how many times the items that were open at once there should be places:
/// the models of other trainers take some of those that are free now.
constexpr double spare_slots_factor = 1.5;

/// How long the most items that were open at once are remembered, in ms: some
/// steps.
constexpr base::millis max_peak_age_ms = 60000;

} // namespace

effects item_scheduler::place_waiting(bool may_start) {
    effects out;
    if (may_start) {
        place_items(out);
    }
    return out;
}

void item_scheduler::place_items(effects& out) {
    struct candidate {
        base::millis due;
        bool is_new;
        std::int64_t left;
        const job_id* job;
        int number;
    };
    const auto now = clock_.now();
    const bool longest_first = table_.is_enabled(base::feature::longest_first);
    std::vector<candidate> queue;
    for (auto& [id, job] : jobs_) {
        for (std::size_t n = 0; n < job.items.size(); ++n) {
            const auto& row = job.items[n];
            if (row.state == item_state::waiting && now >= row.not_before) {
                const auto due =
                    job.first_seen_at + job.options.target_ms +
                    (job.speculative_until ? speculative_delay_ms : 0);
                const auto left =
                    longest_first ? -row.content.expected_output_tokens : 0;
                queue.push_back(
                    {due, !row.is_resubmitted, left, &id, static_cast<int>(n)});
            }
        }
    }
    std::sort(queue.begin(), queue.end(), [](const auto& a, const auto& b) {
        return std::tie(a.due, a.is_new, a.left, a.number) <
               std::tie(b.due, b.is_new, b.left, b.number);
    });
    samplers::run_placement places(table_, now);
    for (const auto& c : queue) {
        auto& job = jobs_.at(*c.job);
        auto& row = job.items[static_cast<std::size_t>(c.number)];
        const auto needs = needs_of(job, row);
        const auto to = choose_server(places, needs, row);
        if (!to) {
            // Jobs differ in the weights that they admit; others may fit.
            continue;
        }
        const auto run = ++last_run_number_;
        runs_[run] = {*c.job, c.number, *to, now,
                      now,    0,        0,   needs.expected_tokens};
        table_.on_request_started(*to, needs.expected_tokens);
        places.update_server(*to);
        row.state = item_state::running;
        if (row.failed_servers.count(*to) != 0) {
            // All that are left have failed it: each has its turn again.
            row.failed_servers.clear();
        }
        ++row.timeline.run_count;
        if (row.timeline.first_start_ms < 0) {
            row.timeline.first_start_ms = now - job.first_seen_at;
        }
        ++counts_.runs;
        out.push_back(start_run{
            run, *to, *c.job, c.number, job.header.host, job.header.model,
            &row.content, row.output.last_event, priority_of(row),
            std::max<base::millis>(
                1000, job.first_seen_at + job.options.item_expiry_ms - now)});
    }
}

/// A server may fail each run that it gets while all others would serve it;
/// the cheapest place is then at that server again.
std::optional<samplers::sampler_id>
item_scheduler::choose_server(samplers::run_placement& places,
                              const samplers::run_requirements& needs,
                              const item_row& row) const {
    if (row.failed_servers.empty()) {
        return places.find_best(needs);
    }
    auto other = places.find_best(needs, row.failed_servers);
    const bool waits = clock_.now() < row.avoid_failed_servers_until &&
                       places.has_server(needs, row.failed_servers);
    return other || waits ? other : places.find_best(needs);
}

int item_scheduler::priority_of(const item_row& row) const {
    if (!table_.is_enabled(base::feature::priorities)) {
        return default_priority;
    }
    if (row.is_resubmitted) {
        return resubmitted_priority;
    }
    return row.content.expected_output_tokens > long_run_tokens
               ? long_run_priority
               : default_priority;
}

samplers::run_requirements item_scheduler::needs_of(const job_state& job,
                                                    const item_row& row) const {
    const auto written = std::max<std::int64_t>(
        row.content.expected_output_tokens,
        token_estimator_.estimate_tokens(row.output.event_count));
    return {job.options.service, job.header.model, job.header.min_version,
            row.content.prompt_tokens + written};
}

std::map<std::string, int> item_scheduler::update_wanted_slots() {
    struct count {
        int open = 0;
        int running = 0;
    };
    std::map<std::string, count> now_open;
    for (const auto& [id, job] : jobs_) {
        auto& c = now_open[job.header.model];
        for (const auto& row : job.items) {
            c.running += row.state == item_state::running ? 1 : 0;
            c.open += row.state == item_state::running ||
                      row.state == item_state::waiting;
        }
    }
    const auto now = clock_.now();
    std::map<std::string, int> out;
    for (const auto& [model, c] : now_open) {
        auto& peak = open_items_peaks_[model];
        if (c.open >= peak.item_count || now - peak.seen_at > max_peak_age_ms) {
            peak = {c.open, now};
        }
        out[model] =
            static_cast<int>(spare_slots_factor * peak.item_count) - c.running;
    }
    return out;
}

std::vector<waiting_group> item_scheduler::waiting_groups() const {
    const auto now = clock_.now();
    const samplers::run_placement places(table_, now);
    std::map<std::tuple<samplers::service_name, std::string, weight_version>,
             waiting_group>
        kinds;
    for (const auto& [id, job] : jobs_) {
        for (const auto& row : job.items) {
            if (row.state != item_state::waiting || job.speculative_until) {
                continue;
            }
            const auto needs = needs_of(job, row);
            auto& kind = kinds[{needs.service, needs.model, needs.min_version}];
            if (kind.item_count++ == 0) {
                kind.model = needs.model;
                kind.min_version = needs.min_version;
                kind.servers = places.count_servers(needs);
            }
            kind.longest_wait_ms =
                std::max(kind.longest_wait_ms, now - row.last_served_at);
        }
    }
    std::vector<waiting_group> out;
    out.reserve(kinds.size());
    for (auto& kind : kinds) {
        out.push_back(std::move(kind.second));
    }
    return out;
}

int item_scheduler::waiting_count() const {
    int n = 0;
    for (const auto& [id, job] : jobs_) {
        if (job.speculative_until) {
            continue;
        }
        n += static_cast<int>(std::count_if(
            job.items.begin(), job.items.end(),
            [](const auto& r) { return r.state == item_state::waiting; }));
    }
    return n;
}

} // namespace hibiscus::batch
