#include "hibiscus/batch/crash_ledger.hpp"

#include <algorithm>

/// Sends whose connection was closed by the sender.
namespace hibiscus::batch {

namespace {

/// A server still works on a request for no longer than this after the
/// connection has closed, in ms.
constexpr base::millis max_work_after_close_ms = 500;

/// A server process from which nothing came for longer than this before a
/// request was sent had ended before, in ms.
constexpr base::millis max_quiet_ms = 2000;

} // namespace

/// Returns true if a request could have max_server_ends losses once it is known
/// which servers have ended under its abandoned sends.
bool crash_ledger::has_unsettled_sends(const request_key& request) const {
    const int unsettled = abandoned_.count_unsettled(request);
    const auto found = rows_.find(request);
    const int losses =
        found == rows_.end()
            ? 0
            : losses_against(found->second, loss_filter::ended_or_suspected);
    return unsettled > 0 && losses + unsettled >= max_server_ends;
}

/// Returns for how long a server may still end under a request that is
/// abandoned now: at least until its run would be longer than any lost one.
base::millis crash_ledger::answerable_ms(const request_key& request,
                                         base::millis sent_at) const {
    base::millis longest_ms = 0;
    const auto found = rows_.find(request);
    if (found != rows_.end()) {
        for (const auto& l : found->second.losses) {
            longest_ms = std::max(longest_ms, l.progress.run_ms);
        }
    }
    return std::max(max_work_after_close_ms, sent_at + longest_ms +
                                                 longest_ms / clearing_divisor -
                                                 clock_.now());
}

/// Returns true if a request has a loss at a process that was noticed after
/// `sent_at`.
bool crash_ledger::has_loss_of(const request_key& request,
                               const server_process& process,
                               base::millis sent_at) const {
    const auto found = rows_.find(request);
    return found != rows_.end() &&
           std::any_of(found->second.losses.begin(), found->second.losses.end(),
                       [&](const loss& l) {
                           return l.process == process &&
                                  l.state != loss_state::sending &&
                                  l.lost_at >= sent_at;
                       });
}

/// Returns true if a connection to a process had broken off before `time`. A
/// request that was sent then may have run in the next process.
bool crash_ledger::had_broken_off(const server_process& process,
                                  base::millis time) const {
    const auto found = processes_.find(process);
    return found != processes_.end() && found->second.broke_at &&
           *found->second.broke_at <= time;
}

void crash_ledger::on_abandoned(const request_key& request,
                                const server_loss& last_seen) {
    const auto sent = sent_at(last_seen);
    const auto found = rows_.find(request);
    const bool is_harmless = found != rows_.end() &&
                             found->second.is_limit_confirmed &&
                             limit_of(request);
    if (is_harmless || last_seen.quiet_ms > max_quiet_ms ||
        had_broken_off(last_seen.process, sent) ||
        has_loss_of(request, last_seen.process, sent)) {
        return;
    }
    abandoned_.add(request, last_seen, sent, answerable_ms(request, sent));
    const auto process = processes_.find(last_seen.process);
    if (process != processes_.end() && process->second.ended) {
        count_abandoned(last_seen.process);
    }
}

void crash_ledger::settle_abandoned(const samplers::sampler_table& servers) {
    for (const auto& process : abandoned_.processes()) {
        const auto found = servers.rows().find(process.server);
        if (found == servers.rows().end() ||
            found->second.registered.started_ms != process.started_ms) {
            continue;
        }
        const auto& row = found->second;
        if (row.registered.draining) {
            abandoned_.take(process);
            continue;
        }
        on_sign_of_life(process, row.last_sign_at());
    }
}

void crash_ledger::on_sign_of_life(const server_process& process,
                                   base::millis time) {
    for (const auto& request : abandoned_.on_sign_of_life(process, time)) {
        const auto row = rows_.find(request);
        if (row != rows_.end() && limit_of(request)) {
            row->second.is_limit_confirmed = true;
        }
    }
}

/// Counts the abandoned sends to a process that has ended, unless it had fallen
/// silent before them or the request has a loss there. How far the server had
/// come with them is not known, and the end may have come at any time in which
/// the send was answerable for it.
void crash_ledger::count_abandoned(const server_process& process) {
    for (const auto& [request, send] : abandoned_.take(process)) {
        if (send.is_unseen) {
            continue;
        }
        const auto& lost = send.last_seen;
        auto& row = rows_[request];
        if (has_loss(row, process)) {
            continue;
        }
        note_progress(row, lost.progress);
        auto progress = lost.progress;
        const auto lost_at = std::min(clock_.now(), send.answerable_until);
        progress.run_ms = lost_at - send.sent_at;
        row.losses.push_back({process, loss_state::ended, send.sent_at, lost_at,
                              progress, false, true});
        row.is_limit_confirmed = false;
        mark_changed(row);
        auto& ended = processes_[process];
        if (ended.server_count == 0) {
            ended.service = lost.service;
            ended.server_count = lost.server_count;
        }
        if (!ended.ended) {
            ended.lost_at = clock_.now();
            set_ended(ended);
        }
        late_losses_.push_back({request, process,
                                clock_.now() - send.abandoned_at,
                                counted_losses(request)});
    }
}

/// Adds the checks of servers for whose abandoned sends a request waits.
void crash_ledger::add_checks_of_abandoned(
    const std::map<server_process, base::millis>& checked_before,
    std::vector<lost_process>& due) {
    for (const auto& request : abandoned_.requests()) {
        if (!has_unsettled_sends(request)) {
            continue;
        }
        for (const auto& send : abandoned_.unsettled(request)) {
            add_due_check(send.last_seen.process, send.abandoned_at,
                          checked_before, due);
        }
    }
}

} // namespace hibiscus::batch
