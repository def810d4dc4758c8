#include "hibiscus/batch/item_scheduler.hpp"
#include "item_scheduler_limits.hpp"

#include <algorithm>

/// Decides which runs move to another server.
namespace hibiscus::batch {

namespace {

/// A run without a first event for this long moves to another server, in ms.
/// The time starts with the request, and again with the response. The first
/// event normally comes 8 ms after the request. It takes 1.1 s if two runs wait
/// for a slot that others occupy; such a run moves as well.
constexpr base::millis first_event_timeout_ms = 900;

/// A run is silent if no event comes for this multiple of its server's event
/// interval. This is longer than the pause while a server prefills a long
/// prompt, and more than twice the pause of a server that has just become four
/// times slower. It is never less than min_silence_ms: a stall of the own
/// process that its ticks don't show would otherwise make all servers look
/// silent.
constexpr double silence_factor = 20;

/// Maximum number of runs that leave slow or draining servers in one tick. If
/// all moved at once, they would compete for the same few free slots.
constexpr int max_slow_moves_per_tick = 6;

/// Minimum number of events of a run at its server before it may move to a
/// faster one. Also the number of events from which on a text may leave a slow
/// server although it is expected to be short.
constexpr int min_events_before_move = 20;

/// Minimum number of events of a run at a slow server before it may leave, to
/// show that the server still is slow.
constexpr int min_events_on_slow_server = 4;

/// Texts that are expected to have fewer tokens are short: they take less than
/// a second on a healthy server and stay where they are.
constexpr std::int64_t short_text_tokens = 1500;

/// Maximum number of long runs that move at a time, and the interval of such
/// moves, in ms. Each move changes the load that the next one sees, and ranking
/// the servers for each model is expensive in a large fleet.
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

/// Stops a run and queues its item for another server.
void item_scheduler::move_run(run_number run, const char* reason,
                              effects& out) {
    const auto row = runs_.at(run);
    cancel_run(run, reason, out);
    if (auto* item = find_item(row)) {
        requeue(*item, 0);
    }
}

bool item_scheduler::is_silent(const run_row& run,
                               samplers::run_placement& placement) const {
    const auto now = clock_.now();
    const auto silence = now - run.last_activity_at;
    if (run.event_count == 0) {
        return silence > first_event_timeout_ms;
    }
    return silence > min_silence_ms &&
           static_cast<double>(silence) >
               silence_factor * placement.event_interval(run.sampler);
}

/// Counts a silent run as a loss unless only the run is silent: its server
/// still sends events of others.
void item_scheduler::add_silent_loss(run_row& run, const item_row& row,
                                     effects& out) {
    auto lost = loss_of(run, row);
    lost.is_unseen = is_unseen(run);
    if (!run.has_response) {
        const auto* server = table_.find(run.sampler);
        lost.silent_since = server == nullptr ? 0 : server->last_heard_at;
        const bool has_restarted =
            server == nullptr ||
            server->registered.started_ms != run.server_started_ms;
        if (!has_restarted &&
            clock_.now() - *lost.silent_since <= min_silence_ms) {
            return;
        }
    }
    run.was_silent = !add_loss(run.job, run.item_index, false, lost, out);
}

void item_scheduler::move_silent_runs(effects& out) {
    std::vector<run_number> silent;
    samplers::run_placement placement(table_, clock_.now());
    for (const auto& [run, row] : runs_) {
        if (is_silent(row, placement)) {
            silent.push_back(run);
        }
    }
    for (const auto run : silent) {
        ++counts_.silent_runs;
        auto& row = runs_.at(run);
        const auto* item = find_item(row);
        if (item != nullptr) {
            add_silent_loss(row, *item, out);
        }
        table_.on_failure(row.sampler);
        move_run(run, "silent", out);
    }
}

void item_scheduler::move_slow_runs(effects& out) {
    samplers::run_placement placement(table_, clock_.now());
    const int waiting = waiting_count();
    const auto doubtful = find_occupancy().doubtful;
    std::vector<run_number> moving_runs;
    for (const auto& [run, row] : runs_) {
        const auto job = jobs_.find(row.job);
        const int moves = static_cast<int>(moving_runs.size());
        if (job == jobs_.end() || moves >= max_slow_moves_per_tick) {
            continue;
        }
        const auto& slow_servers =
            placement.slow_servers(job->second.options.service);
        const auto* server = table_.find(row.sampler);
        const bool is_draining =
            server != nullptr && server->registered.draining;
        const bool is_slow =
            slow_servers.count(row.sampler) != 0 && is_worth_moving(row);
        if (!is_draining && !is_slow) {
            continue;
        }
        auto unfit = doubtful;
        unfit.insert(slow_servers.begin(), slow_servers.end());
        if (placement.free_slots(requirements_of(job->second, *find_item(row)),
                                 unfit) > moves + waiting) {
            moving_runs.push_back(run);
        }
    }
    for (const auto run : moving_runs) {
        ++counts_.moved_runs;
        move_run(run, "moved", out);
    }
}

/// Returns false for short texts: they end soon on a slow server too, no step
/// waits for them, and each move costs a connection.
bool item_scheduler::is_worth_moving(const run_row& run) {
    const auto* item = find_item(run);
    return item != nullptr && run.event_count >= min_events_on_slow_server &&
           (item->content.expected_output_tokens >= short_text_tokens ||
            item->output.event_count >= min_events_before_move);
}

/// Moves long runs to faster servers while there are more free slots than
/// waiting items. In a large fleet some items always wait, for weights or for
/// the end of a retry delay, so an empty queue is not required.
void item_scheduler::move_long_runs(effects& out) {
    const auto now = clock_.now();
    if (now < next_long_move_at_) {
        return;
    }
    next_long_move_at_ = now + long_move_interval_ms;
    samplers::run_placement placement(table_, now);
    const int waiting = waiting_count();
    std::vector<std::pair<int, run_number>> candidates;
    for (const auto& [run, row] : runs_) {
        const auto* item = find_item(row);
        if (item != nullptr && row.event_count >= min_events_before_move &&
            item->output.event_count >= long_text_events) {
            candidates.emplace_back(-item->output.event_count, run);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    int moves = 0;
    for (const auto& [negated_length, run] : candidates) {
        const auto row = runs_.at(run);
        const auto requirements =
            requirements_of(jobs_.at(row.job), *find_item(row));
        if (moves >= max_long_moves) {
            return;
        }
        if (placement.free_slots(requirements) <= moves + waiting) {
            continue;
        }
        if (placement.find_faster(requirements, row.sampler)) {
            ++moves;
            ++counts_.moved_runs;
            move_run(run, "to_faster", out);
            placement.update_server(row.sampler);
        }
    }
}

} // namespace hibiscus::batch
