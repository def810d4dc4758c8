#include "hibiscus/batch/item_scheduler.hpp"
#include "item_scheduler_limits.hpp"

#include <algorithm>

/// Which runs leave their servers.
namespace hibiscus::batch {

namespace {

/// A run without its first event for so long has met a server that does not
/// work, in ms. The first event comes 8 ms after the request, 1.1 s when two
/// wait for a place that others had taken.
constexpr base::millis first_event_timeout_ms = 900;

/// A run whose events stop for so many times the usual pause at its server has
/// met one that does not work: more than the pause of a step that reads in a
/// long prompt, and more than twice that of a server which has just become
/// four times slower. Never sooner than the shortest bound, in ms: a delay of
/// the process that its ticks do not show would make all servers silent.
constexpr double silence_factor = 20;
constexpr base::millis min_silence_ms = 300;

/// The share of runs that may move at one tick: all at once would meet the
/// same few free places.
constexpr int max_slow_moves_per_tick = 6;

/// A run stays at a server for so many events before it may wander on.
constexpr int min_events_before_move = 20;

/// A run leaves a slow server after so many events there, which show that it
/// still is slow, if its text is not short: less than a second on a sound one.
constexpr int min_events_on_slow_server = 4;

constexpr std::int64_t short_run_tokens = 1500;

/// How many long runs may wander at a time, and how often, in ms: the first
/// that comes to a server changes what the next one finds there, and to rank
/// the servers for each model is dear in a large fleet.
constexpr int max_long_moves = 2;
constexpr base::millis long_move_interval_ms = 100;

} // namespace

void item_scheduler::move_runs(effects& out) {
    if (table_.is_enabled(base::feature::move_silent_runs)) {
        move_silent_runs(out);
    }
    if (table_.is_enabled(base::feature::move_slow_runs)) {
        move_slow_runs(out);
    }
    if (table_.is_enabled(base::feature::move_to_faster)) {
        move_long_runs(out);
    }
}

/// Stops a run so that its item goes on elsewhere.
void item_scheduler::move_run(run_number run, const char* reason,
                              effects& out) {
    const auto row = runs_.at(run);
    cancel_run(run, reason, out);
    if (auto* item = find_item(row)) {
        requeue(*item, 0);
    }
}

bool item_scheduler::is_silent(const run_row& run,
                               samplers::run_placement& places) const {
    const auto now = clock_.now();
    const auto silence = now - run.last_heard_at;
    if (run.event_count == 0) {
        return silence > first_event_timeout_ms;
    }
    return silence > min_silence_ms &&
           static_cast<double>(silence) >
               silence_factor * places.event_interval(run.sampler);
}

void item_scheduler::move_silent_runs(effects& out) {
    std::vector<run_number> silent;
    samplers::run_placement places(table_, clock_.now());
    for (const auto& [run, row] : runs_) {
        if (is_silent(row, places)) {
            silent.push_back(run);
        }
    }
    for (const auto run : silent) {
        ++counts_.silent_runs;
        table_.on_failure(runs_.at(run).sampler);
        move_run(run, "silent", out);
    }
}

void item_scheduler::move_slow_runs(effects& out) {
    samplers::run_placement places(table_, clock_.now());
    const int queued = waiting_count();
    std::vector<run_number> leaving;
    for (const auto& [run, row] : runs_) {
        const auto job = jobs_.find(row.job);
        const int moves = static_cast<int>(leaving.size());
        if (job == jobs_.end() || moves >= max_slow_moves_per_tick) {
            continue;
        }
        const auto& slow = places.slow_servers(job->second.options.service);
        const auto* s = table_.find(row.sampler);
        const bool drains = s != nullptr && s->registered.draining;
        const bool is_slow =
            slow.count(row.sampler) != 0 && is_worth_moving(row);
        if (!drains && !is_slow) {
            continue;
        }
        if (places.free_slots(needs_of(job->second, *find_item(row)), slow) >
            moves + queued) {
            leaving.push_back(run);
        }
    }
    for (const auto run : leaving) {
        ++counts_.moved_runs;
        move_run(run, "moved", out);
    }
}

/// A short text ends soon on a slow server too, and no step waits for it;
/// each move costs a connection.
bool item_scheduler::is_worth_moving(const run_row& run) {
    const auto* item = find_item(run);
    return item != nullptr && run.event_count >= min_events_on_slow_server &&
           (item->content.expected_output_tokens >= short_run_tokens ||
            item->output.event_count >= min_events_before_move);
}

/// Long runs wander to faster servers while there are places for all that
/// wait. Some always wait in a large fleet: for weights, or for a pause.
void item_scheduler::move_long_runs(effects& out) {
    const auto now = clock_.now();
    if (now < next_long_move_at_) {
        return;
    }
    next_long_move_at_ = now + long_move_interval_ms;
    samplers::run_placement places(table_, now);
    const int queued = waiting_count();
    std::vector<std::pair<int, run_number>> longest;
    for (const auto& [run, row] : runs_) {
        const auto* item = find_item(row);
        if (item != nullptr && row.event_count >= min_events_before_move &&
            item->output.event_count >= long_run_events) {
            longest.emplace_back(-item->output.event_count, run);
        }
    }
    std::sort(longest.begin(), longest.end());
    int moves = 0;
    for (const auto& [events, run] : longest) {
        const auto row = runs_.at(run);
        const auto needs = needs_of(jobs_.at(row.job), *find_item(row));
        if (moves >= max_long_moves) {
            return;
        }
        if (places.free_slots(needs) <= moves + queued) {
            continue;
        }
        if (places.find_faster(needs, row.sampler)) {
            ++moves;
            ++counts_.moved_runs;
            move_run(run, "to_faster", out);
            places.update_server(row.sampler);
        }
    }
}

} // namespace hibiscus::batch
