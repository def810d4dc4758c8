#include "hibiscus/batch/work.hpp"
#include "work_limits.hpp"

#include <algorithm>

/// Which runs leave their servers.
namespace hibiscus::batch {

namespace {

/// A run without its first event for so long has met a server that does not
/// work, in ms. The first event comes 8 ms after the request, 1.1 s when two
/// wait for a place that others had taken.
constexpr base::millis first_event_ms = 900;

/// A run whose events stop for so many times the usual pause at its server has
/// met one that does not work: more than the pause of a step that reads in a
/// long prompt, and more than twice that of a server which has just become
/// four times slower. Never sooner than the shortest bound, in ms: a delay of
/// the process that its ticks do not show would make all servers silent.
constexpr double silent_pauses = 20;
constexpr base::millis least_silence_ms = 300;

/// The share of runs that may move at one tick: all at once would meet the
/// same few free places.
constexpr int moves_a_tick = 6;

/// A run stays at a server for so many events before it may wander on.
constexpr int settled_events = 20;

/// A run leaves a slow server after so many events there, which show that it
/// still is slow, if its text is not short: less than a second on a sound one.
constexpr int slow_events = 4;

constexpr std::int64_t short_tokens = 1500;

/// How many long runs may wander at a time, and how often, in ms: the first
/// that comes to a server changes what the next one finds there, and to rank
/// the servers for each model is dear in a large fleet.
constexpr int long_moves_at_once = 2;
constexpr base::millis wander_ms = 100;

} // namespace

void work::move(effects& out) {
    if (table_.uses(base::mechanism::move_silent_runs)) {
        move_silent(out);
    }
    if (table_.uses(base::mechanism::move_slow_runs)) {
        move_slow(out);
    }
    if (table_.uses(base::mechanism::move_to_faster)) {
        move_long(out);
    }
}

/// Stops a run so that its item goes on elsewhere.
void work::move_one(run_number run, const char* reason, effects& out) {
    const auto row = runs_.at(run);
    stop(run, reason, out);
    if (auto* item = row_of(row)) {
        requeue(*item, 0);
    }
}

bool work::is_silent(const run_row& run, samplers::run_places& places) const {
    const auto now = clock_.now();
    const auto silence = now - run.heard_at;
    if (run.events == 0) {
        return silence > first_event_ms;
    }
    return silence > least_silence_ms &&
           static_cast<double>(silence) >
               silent_pauses * places.pace(run.sampler);
}

void work::move_silent(effects& out) {
    std::vector<run_number> silent;
    samplers::run_places places(table_, clock_.now());
    for (const auto& [run, row] : runs_) {
        if (is_silent(row, places)) {
            silent.push_back(run);
        }
    }
    for (const auto run : silent) {
        ++counts_.silent;
        table_.failed(runs_.at(run).sampler);
        move_one(run, "silent", out);
    }
}

void work::move_slow(effects& out) {
    samplers::run_places places(table_, clock_.now());
    const int queued = waiting();
    std::vector<run_number> leaving;
    for (const auto& [run, row] : runs_) {
        const auto job = jobs_.find(row.job);
        const int moves = static_cast<int>(leaving.size());
        if (job == jobs_.end() || moves >= moves_a_tick) {
            continue;
        }
        const auto& slow = places.slow(job->second.terms.service);
        const auto* s = table_.find(row.sampler);
        const bool drains = s != nullptr && s->registered.draining;
        const bool is_slow =
            slow.count(row.sampler) != 0 && is_worth_moving(row);
        if (!drains && !is_slow) {
            continue;
        }
        if (places.free(needs_of(job->second, *row_of(row)), slow) >
            moves + queued) {
            leaving.push_back(run);
        }
    }
    for (const auto run : leaving) {
        ++counts_.moved;
        move_one(run, "moved", out);
    }
}

/// A short text ends soon on a slow server too, and no step waits for it;
/// each move costs a connection.
bool work::is_worth_moving(const run_row& run) {
    const auto* item = row_of(run);
    return item != nullptr && run.events >= slow_events &&
           (item->content.expected_tokens >= short_tokens ||
            item->got.events >= settled_events);
}

/// Long runs wander to faster servers while there are places for all that
/// wait. Some always wait in a large fleet: for weights, or for a pause.
void work::move_long(effects& out) {
    const auto now = clock_.now();
    if (now < next_wander_) {
        return;
    }
    next_wander_ = now + wander_ms;
    samplers::run_places places(table_, now);
    const int queued = waiting();
    std::vector<std::pair<int, run_number>> longest;
    for (const auto& [run, row] : runs_) {
        const auto* item = row_of(row);
        if (item != nullptr && row.events >= settled_events &&
            item->got.events >= long_events) {
            longest.emplace_back(-item->got.events, run);
        }
    }
    std::sort(longest.begin(), longest.end());
    int moves = 0;
    for (const auto& [events, run] : longest) {
        const auto row = runs_.at(run);
        const auto needs = needs_of(jobs_.at(row.job), *row_of(row));
        if (moves >= long_moves_at_once) {
            return;
        }
        if (places.free(needs) <= moves + queued) {
            continue;
        }
        if (places.faster(needs, row.sampler)) {
            ++moves;
            ++counts_.moved;
            move_one(run, "to_faster", out);
            places.changed(row.sampler);
        }
    }
}

} // namespace hibiscus::batch
