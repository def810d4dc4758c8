#include "hibiscus/batch/item_scheduler.hpp"
#include "item_scheduler_limits.hpp"

/// Keeps items under which servers have ended apart from the others.
namespace hibiscus::batch {

namespace {

/// At most this part of a service's servers is isolated.
constexpr std::size_t isolated_servers_divisor = 2;

/// After this many runs in a row that reached their limit before any event
/// came, an item is not sent again.
constexpr int max_fruitless_runs = 3;

} // namespace

void item_scheduler::server_occupancy::add(const samplers::sampler_id& server,
                                           int loss_count) {
    ++run_counts[server];
    if (loss_count > 0) {
        suspects.insert(server);
    }
    if (crash_ledger::is_last_send(loss_count)) {
        isolated.insert(server);
    }
}

item_scheduler::server_occupancy item_scheduler::find_occupancy() const {
    server_occupancy occupancy;
    if (crashes_.size() > 0) {
        for (const auto& [number, run] : runs_) {
            occupancy.add(run.sampler, run.loss_count);
        }
        for (const auto& lost : crashes_.lost_processes()) {
            const auto* server = table_.find(lost.process.server);
            if (server != nullptr &&
                server->registered.started_ms == lost.process.started_ms &&
                server->last_heard_at <= lost.lost_at) {
                occupancy.doubtful.insert(lost.process.server);
            }
        }
        occupancy.doubtful.insert(unchecked_servers_.begin(),
                                  unchecked_servers_.end());
    }
    return occupancy;
}

bool item_scheduler::may_send(const job_state& job, const item_row& row) const {
    return crashes_.is_empty() || (crashes_.permission(request_of(job, row)) ==
                                       send_permission::allowed &&
                                   !has_fruitless_runs(job, row));
}

std::optional<run_limit> item_scheduler::limit_of(const job_state& job,
                                                  const item_row& row) const {
    return crashes_.size() == 0 ? std::nullopt
                                : crashes_.limit_of(request_of(job, row));
}

/// Returns true if runs of the item have to stop before they get any event.
bool item_scheduler::has_fruitless_runs(const job_state& job,
                                        const item_row& row) const {
    return row.fruitless_runs >= max_fruitless_runs && limit_of(job, row);
}

bool item_scheduler::has_reached_limit(const run_row& run) const {
    return run.limit && run.is_sent &&
           (run.event_count >= run.limit->events ||
            clock_.now() - run.sent_at >= run.limit->ms);
}

/// Stops a run before the point at which its server may end. The item goes on
/// in another run.
void item_scheduler::stop_limited_run(run_number run, effects& out) {
    const auto row = runs_.at(run);
    cancel_run(run, "limit_reached", out);
    if (auto* item = find_item(row)) {
        item->fruitless_runs += row.event_count == 0 ? 1 : 0;
        requeue(*item, 0);
    }
}

void item_scheduler::stop_limited_runs(effects& out) {
    std::vector<run_number> reached;
    for (const auto& [run, row] : runs_) {
        if (has_reached_limit(row)) {
            reached.push_back(run);
        }
    }
    for (const auto run : reached) {
        stop_limited_run(run, out);
    }
}

/// Lets a quarantined item or its reward call go on if the ends of other
/// servers speak for it by now.
void item_scheduler::release_if_excused(const job_id& id, int item_index,
                                        effects& out) {
    const auto& job = jobs_.at(id);
    auto& row = jobs_.at(id).items[static_cast<std::size_t>(item_index)];
    const bool is_reward = row.state_before == item_state::reward_pending;
    const auto request = is_reward ? reward_of(job, row) : request_of(job, row);
    if (crashes_.permission(request) == send_permission::quarantined ||
        (!is_reward && has_fruitless_runs(job, row))) {
        return;
    }
    row.state = row.state_before;
    out.push_back(report_release{describe(id, item_index, is_reward)});
}

/// Returns true if the item is quarantined after one more loss.
bool item_scheduler::is_last_send(const job_state& job,
                                  const item_row& row) const {
    return crashes_.size() > 0 &&
           crashes_.needs_stored_send(request_of(job, row));
}

void item_scheduler::on_run_sent(run_number run) {
    const auto found = runs_.find(run);
    if (found != runs_.end()) {
        auto& sent = found->second;
        const auto* server = table_.find(sent.sampler);
        sent.sent_at = clock_.now();
        sent.last_activity_at = sent.sent_at;
        sent.is_sent = true;
        if (server != nullptr) {
            sent.quiet_ms = sent.sent_at - server->last_sign_at();
        }
    }
}

/// Returns true if the server of a run had fallen silent before and nothing has
/// come from it since.
bool item_scheduler::is_unseen(const run_row& run) const {
    const auto server = table_.rows().find(run.sampler);
    const bool was_heard =
        run.has_response || (server != table_.rows().end() &&
                             server->second.last_heard_at >= run.sent_at);
    return run.was_silent && !was_heard;
}

server_loss item_scheduler::loss_of(const run_row& run,
                                    const item_row& row) const {
    const auto& service = jobs_.at(run.job).options.service;
    server_loss lost{process_of(run), service,
                     static_cast<int>(table_.run_candidates(service).size()),
                     progress_of(run, row)};
    lost.has_response = run.has_response;
    lost.quiet_ms = run.quiet_ms;
    const auto silence = clock_.now() - run.last_activity_at;
    if (run.has_response && silence > min_silence_ms) {
        lost.exclude_silence(silence);
    }
    return lost;
}

run_progress item_scheduler::progress_of(const run_row& run,
                                         const item_row& row) const {
    return {row.output.event_count, run.event_count,
            clock_.now() - run.sent_at};
}

/// Called when a run is stopped. Its server may still end under the item, or
/// have ended unnoticed.
void item_scheduler::abandon_run(const run_row& run) {
    const auto* row = find_item(run);
    if (row == nullptr) {
        return;
    }
    const auto request = request_of(jobs_.at(run.job), *row);
    crashes_.on_survived(request, process_of(run));
    if (run.is_sent && row->state != item_state::committed) {
        auto last_seen = loss_of(run, *row);
        last_seen.is_unseen = is_unseen(run);
        crashes_.on_abandoned(request, last_seen);
    }
}

/// Counts a loss of an item or of its reward call, if it is one. Returns
/// whether it is.
bool item_scheduler::add_loss(const job_id& id, int item_index, bool is_reward,
                              const server_loss& lost, effects& out) {
    const auto& job = jobs_.at(id);
    const auto& row = job.items[static_cast<std::size_t>(item_index)];
    const auto request = is_reward ? reward_of(job, row) : request_of(job, row);
    const bool counts = crashes_.on_lost(request, lost);
    out.push_back(report_loss{id, item_index, request.request_id, is_reward,
                              lost, counts, crashes_.counted_losses(request)});
    return counts;
}

/// Clears the losses of an item whose run has gone past them.
void item_scheduler::clear_losses(run_row& run, const job_state& job,
                                  const item_row& row, effects& out) {
    const auto request = request_of(job, row);
    const int counted = crashes_.counted_losses(request);
    const int cleared = crashes_.on_progress(request, progress_of(run, row));
    if (cleared == 0) {
        return;
    }
    run.loss_count -= counted - crashes_.counted_losses(request);
    out.push_back(report_cleared_losses{run.job, run.item_index,
                                        row.content.id.str(), cleared,
                                        row.output.event_count});
}

/// Returns the best server for an item, or nothing. Isolated servers are used
/// only if there are no others, and items with losses are kept apart while
/// there is room.
std::optional<samplers::sampler_id> item_scheduler::choose_server(
    samplers::run_placement& placement,
    const samplers::run_requirements& requirements, const item_row& row,
    const server_occupancy& occupancy, int loss_count) const {
    std::set<samplers::sampler_id> isolated;
    if (!occupancy.isolated.empty() &&
        placement.has_server(requirements, occupancy.isolated)) {
        isolated = occupancy.isolated;
    }
    if (loss_count > 0) {
        auto apart = isolated;
        apart.insert(occupancy.suspects.begin(), occupancy.suspects.end());
        apart.insert(occupancy.doubtful.begin(), occupancy.doubtful.end());
        if (auto server = choose_among(placement, requirements, row, apart)) {
            return server;
        }
    }
    return choose_among(placement, requirements, row, isolated);
}

/// Returns the best server for an item that is not in `except`, or nothing. A
/// server at which the item has failed is used only if no other one is free,
/// and then only after avoid_failed_servers_until or if no other one could run
/// the item. Otherwise a server that fails every run, and so frees its slots at
/// once, would be chosen again and again.
std::optional<samplers::sampler_id> item_scheduler::choose_among(
    samplers::run_placement& placement,
    const samplers::run_requirements& requirements, const item_row& row,
    const std::set<samplers::sampler_id>& except) const {
    if (row.failed_servers.empty()) {
        return placement.find_best(requirements, except);
    }
    auto others = except;
    others.insert(row.failed_servers.begin(), row.failed_servers.end());
    auto preferred = placement.find_best(requirements, others);
    const bool should_wait =
        clock_.now() < row.avoid_failed_servers_until &&
        placement.has_server(requirements, row.failed_servers);
    return preferred || should_wait ? preferred
                                    : placement.find_best(requirements, except);
}

/// Returns a server without other runs for an item whose next loss may be its
/// last, so that no other item shares that loss. If there is none, keeps one
/// free for it; after a while, another one has to do. A limited run is not
/// expected to end its server and doesn't wait.
std::optional<samplers::sampler_id> item_scheduler::choose_isolated_server(
    samplers::run_placement& placement,
    const samplers::run_requirements& requirements, const item_row& row,
    bool is_limited, server_occupancy& occupancy) const {
    auto occupied = occupancy.doubtful;
    for (const auto& [server, count] : occupancy.run_counts) {
        occupied.insert(server);
    }
    if (auto server = choose_among(placement, requirements, row, occupied)) {
        return server;
    }
    if (is_limited ||
        clock_.now() - row.last_served_at > max_isolation_wait_ms) {
        return choose_server(placement, requirements, row, occupancy,
                             crash_ledger::max_server_ends);
    }
    keep_emptiest_server(requirements, occupancy);
    return std::nullopt;
}

/// Isolates the server with the fewest runs, unless enough are isolated.
void item_scheduler::keep_emptiest_server(
    const samplers::run_requirements& requirements,
    server_occupancy& occupancy) const {
    const auto& servers = table_.run_candidates(requirements.service);
    const samplers::sampler_id* emptiest = nullptr;
    int fewest_runs = 0;
    std::size_t isolated_count = 0;
    for (const auto* entry : servers) {
        const auto& [id, row] = *entry;
        const auto found = occupancy.run_counts.find(id);
        const int runs =
            found == occupancy.run_counts.end() ? 0 : found->second;
        if (occupancy.isolated.count(id) != 0) {
            ++isolated_count;
        } else if (occupancy.doubtful.count(id) == 0 &&
                   row.version_of(requirements.model) >=
                       requirements.min_version &&
                   (emptiest == nullptr || runs < fewest_runs)) {
            emptiest = &id;
            fewest_runs = runs;
        }
    }
    if (emptiest != nullptr &&
        isolated_servers_divisor * (isolated_count + 1) <= servers.size()) {
        occupancy.isolated.insert(*emptiest);
    }
}

} // namespace hibiscus::batch
