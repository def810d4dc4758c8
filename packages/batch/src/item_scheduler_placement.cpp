#include "hibiscus/batch/item_scheduler.hpp"
#include "item_scheduler_limits.hpp"

#include <algorithm>
#include <tuple>

/// Decides which waiting item is placed on which server, and how many slots are
/// needed.
namespace hibiscus::batch {

namespace {

/// Items that are expected to write more tokens than this are sent with
/// long_output_priority. Servers prefer them when memory is short: a run that
/// loses its memory must prefill its text again, and a long one then finishes
/// late.
constexpr std::int64_t long_output_tokens = 3000;

constexpr int resubmitted_priority = 1;

constexpr int long_output_priority = 3;

constexpr int default_priority = 5;

/// The least urgent priority that servers accept.
constexpr int max_priority = 9;

/// How much later an item is placed for each level of its job's priority, in
/// ms. Bounded in time, so that jobs with a low priority do not starve.
constexpr base::millis priority_delay_ms = 250;

/// Added to the target time of speculative items, so that they are placed after
/// those of all jobs, in ms. Longer than any job lasts.
constexpr base::millis speculative_queue_offset_ms = 3600000;

/// After this many servers that failed their checks, an item is sent once
/// without a check, in case that checks fail at sound servers.
constexpr int max_failed_checks = 8;

/// Wanted slots per open item at the peak. More than one, since other trainers'
/// models may take some of the slots that are free now.
constexpr double spare_slots_factor = 1.5;

/// Slots that runs are placed on, per open item at the peak. Enough that each
/// of several models finds servers with its weights, and that long runs find
/// emptier ones.
constexpr std::size_t run_slots_per_item = 3;

/// The number of these slots is a multiple of this, so that it seldom changes.
constexpr std::size_t run_slots_unit = 512;

/// How long a peak of open items is remembered, in ms: a few steps.
constexpr base::millis max_peak_age_ms = 60000;

} // namespace

effects item_scheduler::place_waiting(bool may_start_runs) {
    effects out;
    if (may_start_runs) {
        place_items(out);
    }
    return out;
}

void item_scheduler::place_items(effects& out) {
    struct candidate {
        bool shares_servers;
        group_rank rank;
        base::millis target_at;
        bool is_new;
        std::int64_t negated_length;
        const job_id* job;
        int item_index;
    };
    update_plan();
    const auto now = clock_.now();
    const bool longest_first = table_.is_enabled(base::feature::longest_first);
    std::vector<candidate> queue;
    for (auto& [id, job] : jobs_) {
        for (std::size_t n = 0; n < job.items.size(); ++n) {
            const auto& row = job.items[n];
            if (row.state == item_state::waiting && now >= row.not_before &&
                !is_score_too_late(job, row) && may_send(job, row)) {
                const auto rank = rank_of(id, job, n);
                const auto lead_ms =
                    rank == in_time_rank
                        ? static_cast<base::millis>(expected_run_ms(job, row))
                        : 0;
                const auto target_at =
                    job.first_seen_at + job.options.target_ms +
                    job.options.priority * priority_delay_ms +
                    (job.speculative_until ? speculative_queue_offset_ms : 0) -
                    lead_ms;
                const auto negated_length =
                    longest_first ? -row.content.expected_output_tokens : 0;
                queue.push_back({!is_last_send(job, row), rank, target_at,
                                 !row.is_resubmitted, negated_length, &id,
                                 static_cast<int>(n)});
            }
        }
    }
    std::sort(queue.begin(), queue.end(), [](const auto& a, const auto& b) {
        return std::tie(a.shares_servers, a.rank, a.target_at, a.is_new,
                        a.negated_length, a.item_index) <
               std::tie(b.shares_servers, b.rank, b.target_at, b.is_new,
                        b.negated_length, b.item_index);
    });
    samplers::run_placement placement(table_, now);
    auto occupancy = find_occupancy();
    for (const auto& c : queue) {
        auto& job = jobs_.at(*c.job);
        auto& row = job.items[static_cast<std::size_t>(c.item_index)];
        const auto requirements = requirements_of(job, row);
        const auto request = request_of(job, row);
        const int loss_count = crashes_.counted_losses(request);
        const auto limit = limit_of(job, row);
        const auto server =
            crash_ledger::is_last_send(loss_count)
                ? choose_isolated_server(placement, requirements, row,
                                         limit.has_value(), occupancy)
                : choose_server(placement, requirements, row, occupancy,
                                loss_count);
        if (!server) {
            // Other jobs may accept older weights, so later candidates may
            // still fit.
            continue;
        }
        const auto& chosen = *table_.find(*server);
        const bool was_active = now - chosen.last_event_at <= min_silence_ms;
        const bool may_reuse = chosen.may_reuse_connections();
        const auto run = ++last_run_number_;
        auto& added = runs_[run] = {*c.job,
                                    c.item_index,
                                    *server,
                                    now,
                                    now,
                                    now,
                                    0,
                                    0,
                                    requirements.expected_tokens,
                                    chosen.registered.started_ms,
                                    loss_count};
        occupancy.add(*server, loss_count);
        const bool store_first = crashes_.needs_stored_send(request);
        const bool needs_check =
            loss_count > 0 || now - chosen.last_heard_at > max_unheard_ms;
        const bool check_server =
            needs_check && row.failed_checks < max_failed_checks;
        if (!check_server) {
            row.failed_checks = 0;
        }
        const bool may_resend =
            !was_active && !(check_server && loss_count > 0);
        added.limit = limit;
        added.was_silent =
            !check_server && chosen.silence_noticed_at > chosen.last_heard_at;
        added.quiet_ms = now - chosen.last_sign_at();
        added.is_sent = !store_first && !check_server;
        if (store_first) {
            crashes_.on_sending(request, process_of(added));
        }
        table_.on_request_started(*server, requirements.expected_tokens);
        placement.update_server(*server);
        row.state = item_state::running;
        if (row.failed_servers.count(*server) != 0) {
            // The item has failed at every remaining server, so each may be
            // tried again.
            row.failed_servers.clear();
        }
        ++row.timeline.run_count;
        if (row.timeline.first_start_ms < 0) {
            row.timeline.first_start_ms = now - job.first_seen_at;
        }
        ++counts_.runs;
        out.push_back(start_run{
            run, *server, *c.job, c.item_index, job.header.host,
            job.header.workspace, job.header.model, &row.content,
            row.output.last_event, priority_of(job, row),
            std::max<base::millis>(1000, job.first_seen_at +
                                             job.options.item_expiry_ms - now),
            store_first, !store_first && !row.needs_new_connection && may_reuse,
            may_resend, limit, check_server});
    }
}

int item_scheduler::priority_of(const job_state& job,
                                const item_row& row) const {
    if (!table_.is_enabled(base::feature::priorities)) {
        return default_priority;
    }
    int priority = default_priority;
    if (row.is_resubmitted) {
        priority = resubmitted_priority;
    } else if (row.content.expected_output_tokens > long_output_tokens) {
        priority = long_output_priority;
    }
    return std::min(max_priority, priority + job.options.priority);
}

samplers::run_requirements
item_scheduler::requirements_of(const job_state& job,
                                const item_row& row) const {
    const auto output_tokens = std::max<std::int64_t>(
        row.content.expected_output_tokens,
        token_estimator_.estimate_tokens(row.output.event_count));
    return {job.options.service, job.header.model, job.header.min_version,
            row.content.prompt_tokens + output_tokens};
}

/// Limits the servers that runs are placed on by the number of open items.
void item_scheduler::update_run_slots() {
    std::map<samplers::service_name, int> open_items;
    for (const auto& row : jobs_) {
        const auto& items = row.second.items;
        open_items[row.second.options.service] += static_cast<int>(
            std::count_if(items.begin(), items.end(), [](const auto& item) {
                return item.state == item_state::running ||
                       item.state == item_state::waiting;
            }));
    }
    const auto now = clock_.now();
    for (const auto& [service, count] : open_items) {
        auto& peak = open_items_of_services_[service];
        if (count >= peak.item_count || now - peak.seen_at > max_peak_age_ms) {
            peak = {count, now};
        }
        const auto slots =
            run_slots_per_item * static_cast<std::size_t>(peak.item_count);
        table_.set_run_slots(service,
                             (slots / run_slots_unit + 1) * run_slots_unit);
    }
}

std::map<std::string, int> item_scheduler::update_wanted_slots() {
    struct item_counts {
        int open = 0;
        int running = 0;
    };
    std::map<std::string, item_counts> counts_by_model;
    for (const auto& [id, job] : jobs_) {
        auto& counts = counts_by_model[job.header.model];
        for (const auto& row : job.items) {
            counts.running += row.state == item_state::running ? 1 : 0;
            counts.open += row.state == item_state::running ||
                           row.state == item_state::waiting;
        }
    }
    const auto now = clock_.now();
    std::map<std::string, int> wanted_slots;
    for (const auto& [model, counts] : counts_by_model) {
        auto& peak = open_items_peaks_[model];
        if (counts.open >= peak.item_count ||
            now - peak.seen_at > max_peak_age_ms) {
            peak = {counts.open, now};
        }
        wanted_slots[model] =
            static_cast<int>(spare_slots_factor * peak.item_count) -
            counts.running;
    }
    return wanted_slots;
}

std::vector<waiting_group> item_scheduler::waiting_groups() const {
    const auto now = clock_.now();
    const samplers::run_placement placement(table_, now);
    std::map<std::tuple<samplers::service_name, std::string, weight_version>,
             waiting_group>
        groups;
    for (const auto& [id, job] : jobs_) {
        for (const auto& row : job.items) {
            if (row.state != item_state::waiting || job.speculative_until) {
                continue;
            }
            const auto requirements = requirements_of(job, row);
            auto& group = groups[{requirements.service, requirements.model,
                                  requirements.min_version}];
            if (group.item_count++ == 0) {
                group.model = requirements.model;
                group.min_version = requirements.min_version;
                group.servers = placement.count_servers(requirements);
            }
            group.longest_wait_ms =
                std::max(group.longest_wait_ms, now - row.last_served_at);
        }
    }
    std::vector<waiting_group> result;
    result.reserve(groups.size());
    for (auto& group : groups) {
        result.push_back(std::move(group.second));
    }
    return result;
}

int item_scheduler::waiting_count(const job_state& job) {
    return job.speculative_until
               ? 0
               : static_cast<int>(std::count_if(
                     job.items.begin(), job.items.end(), [](const auto& r) {
                         return r.state == item_state::waiting;
                     }));
}

int item_scheduler::waiting_count() const {
    int count = 0;
    for (const auto& row : jobs_) {
        count += waiting_count(row.second);
    }
    return count;
}

int item_scheduler::waiting_count(const samplers::service_name& service) const {
    int count = 0;
    for (const auto& row : jobs_) {
        if (row.second.options.service == service) {
            count += waiting_count(row.second);
        }
    }
    return count;
}

} // namespace hibiscus::batch
