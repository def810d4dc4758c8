#include "hibiscus/batch/crash_ledger.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hibiscus::batch {

namespace {

/// The entry of a server that has ended is removed after this number of renewal
/// intervals. Half an interval more is left for the news of it.
constexpr base::millis max_missed_renewals = 3;

} // namespace

server_verdict judge_by_registration(const samplers::sampler_row* row,
                                     const server_process& process,
                                     base::millis lost_ms,
                                     base::millis renewal_ms) {
    if (row == nullptr || row->registered.started_ms != process.started_ms) {
        return server_verdict::ended;
    }
    const bool was_renewed =
        !row->unlisted &&
        lost_ms > max_missed_renewals * renewal_ms + renewal_ms / 2;
    return was_renewed ? server_verdict::alive : server_verdict::unknown;
}

int crash_ledger::count(const request_row& row, loss_state state) {
    return static_cast<int>(
        std::count_if(row.losses.begin(), row.losses.end(),
                      [state](const loss& l) { return l.state == state; }));
}

int crash_ledger::count_losses(const request_row& row) {
    return count_losses(row, [](const loss& /*l*/) { return true; });
}

template <class Predicate>
int crash_ledger::count_losses(const request_row& row, Predicate predicate) {
    return static_cast<int>(
        std::count_if(row.losses.begin(), row.losses.end(), [&](const loss& l) {
            return l.state != loss_state::sending && predicate(l);
        }));
}

/// Cleared losses count once more when a further server is lost.
int crash_ledger::cleared_losses_that_count(const request_row& row) {
    return row.losses.empty()
               ? 0
               : std::max(0, row.cleared_losses() - max_uncounted_losses);
}

/// Return true if no run has gone past a loss: in the text, or in the events or
/// the time since the start of a run.
bool crash_ledger::agrees_in_text(const request_row& row, const loss& l) {
    return !l.is_progress_known ||
           row.farthest.text_events - l.progress.text_events < clearing_events;
}

bool crash_ledger::agrees_in_events(const request_row& row, const loss& l) {
    const int lost = l.progress.run_events;
    return !l.is_progress_known ||
           row.farthest.run_events - lost <
               std::max(clearing_events, lost / clearing_divisor);
}

bool crash_ledger::agrees_in_time(const request_row& row, const loss& l) {
    const auto lost = l.progress.run_ms;
    return !l.is_progress_known ||
           row.farthest.run_ms - lost <
               std::max<base::millis>(1, lost / clearing_divisor);
}

crash_ledger::agreement crash_ledger::find_agreement(const request_row& row,
                                                     loss_filter filter) {
    agreement found;
    for (const auto& l : row.losses) {
        if (l.state == loss_state::ended ||
            (l.state == loss_state::suspected &&
             filter == loss_filter::ended_or_suspected)) {
            ++found.losses;
            found.in_text += agrees_in_text(row, l) ? 1 : 0;
            found.in_events += agrees_in_events(row, l) ? 1 : 0;
            found.in_time += agrees_in_time(row, l) ? 1 : 0;
        }
    }
    if (found.losses > 0) {
        found.losses += static_cast<int>(std::count_if(
            row.cleared.begin(), row.cleared.end(), [&](const auto& l) {
                return l.ended || filter == loss_filter::ended_or_suspected;
            }));
    }
    return found;
}

/// Returns the number of losses that decide whether a request is quarantined:
/// those that agree with one point, or all but max_uncounted_losses.
int crash_ledger::losses_against(const request_row& row, loss_filter filter) {
    const auto found = find_agreement(row, filter);
    return std::max(found.most(), found.losses - max_uncounted_losses);
}

/// Returns how far a run may go that stays well before each point with which
/// the losses of a request agree. There is no such limit if that point may be
/// in its text, if servers also ended at other points, or if its runs were too
/// short.
std::optional<run_limit> crash_ledger::safe_limit(const request_row& row) {
    const auto found = find_agreement(row, loss_filter::ended_or_suspected);
    if (found.in_text >= max_server_ends || found.losses > max_server_ends) {
        return std::nullopt;
    }
    std::optional<run_limit> limit;
    for (const auto& l : row.losses) {
        if (l.state == loss_state::sending) {
            continue;
        }
        if (!l.is_progress_known) {
            return std::nullopt;
        }
        const run_limit half{l.progress.run_events / limit_divisor,
                             l.progress.run_ms / limit_divisor};
        limit = limit ? run_limit{std::min(limit->events, half.events),
                                  std::min(limit->ms, half.ms)}
                      : half;
    }
    return limit && limit->events >= min_limited_events ? limit : std::nullopt;
}

void crash_ledger::note_progress(request_row& row,
                                 const run_progress& progress) {
    auto& farthest = row.farthest;
    farthest.text_events = std::max(farthest.text_events, progress.text_events);
    farthest.run_events = std::max(farthest.run_events, progress.run_events);
    farthest.run_ms = std::max(farthest.run_ms, progress.run_ms);
}

send_permission crash_ledger::permission(const request_key& request) const {
    if (is_empty()) {
        return send_permission::allowed;
    }
    const auto found = rows_.find(request);
    const auto by_losses = found == rows_.end() ? send_permission::allowed
                                                : permission(found->second);
    return by_losses == send_permission::allowed && has_unsettled_sends(request)
               ? send_permission::waits
               : by_losses;
}

send_permission crash_ledger::permission(const request_row& row) const {
    const bool is_unstored = row.change != row.stored_change;
    const int losses = count_losses(row) + cleared_losses_that_count(row);
    const bool has_too_many =
        losses_against(row, loss_filter::ended_or_suspected) >= max_server_ends;
    if (has_too_many && !safe_limit(row)) {
        if (losses_against(row, loss_filter::ended) < max_server_ends) {
            return send_permission::waits;
        }
        if (count(row, loss_state::ended) + row.cleared_losses() >=
            max_ends_by_chance) {
            return send_permission::quarantined;
        }
        if (!is_chance(row)) {
            return may_become_chance(row) ? send_permission::waits
                                          : send_permission::quarantined;
        }
        if (is_suspect_being_sent(row)) {
            return send_permission::waits;
        }
    }
    return is_last_send(losses) && is_unstored ? send_permission::waits
                                               : send_permission::allowed;
}

std::optional<run_limit>
crash_ledger::limit_of(const request_key& request) const {
    const auto found = rows_.find(request);
    const bool has_too_many =
        found != rows_.end() &&
        losses_against(found->second, loss_filter::ended_or_suspected) >=
            max_server_ends;
    return has_too_many ? safe_limit(found->second) : std::nullopt;
}

int crash_ledger::loss_count(const request_key& request) const {
    const auto found = rows_.find(request);
    return found == rows_.end() ? 0
                                : static_cast<int>(found->second.losses.size());
}

int crash_ledger::counted_losses(const request_key& request) const {
    const auto found = rows_.find(request);
    return found == rows_.end()
               ? 0
               : static_cast<int>(found->second.losses.size()) +
                     cleared_losses_that_count(found->second);
}

loss_summary crash_ledger::summarize(const request_key& request) const {
    const auto found = rows_.find(request);
    return found == rows_.end() ? loss_summary{} : summarize(found->second);
}

loss_summary crash_ledger::summarize(const request_row& row) const {
    loss_summary summary;
    summary.losses = count_losses(row);
    summary.cleared_losses = row.cleared_losses();
    summary.agreeing_losses =
        find_agreement(row, loss_filter::ended_or_suspected).most();
    summary.late_losses =
        count_losses(row, [](const loss& l) { return l.is_late; });
    summary.losses_without_events = count_losses(
        row, [](const loss& l) { return l.progress.run_events == 0; });
    summary.chance = compare_with_chance(row);
    return summary;
}

bool crash_ledger::is_stored(const request_key& request) const {
    const auto found = rows_.find(request);
    return found == rows_.end() ||
           found->second.change == found->second.stored_change;
}

void crash_ledger::mark_changed(request_row& row) {
    row.change = ++last_change_;
    row.changed_at = clock_.now();
}

/// Returns when the request of a loss that is noticed now was sent.
base::millis crash_ledger::sent_at(const server_loss& lost) const {
    return clock_.now() - lost.silence_ms - lost.progress.run_ms;
}

/// Returns true if `known` is about the same process as `lost`. A request that
/// was sent after a loss may have run in a process that had started since then
/// and was not registered yet.
bool crash_ledger::is_same_loss(const loss& known, const loss& lost) {
    return known.process == lost.process &&
           (known.state == loss_state::sending ||
            (known.state == loss_state::suspected &&
             lost.sent_at <= known.lost_at));
}

void crash_ledger::set_loss(const request_key& request, const server_loss& lost,
                            loss_state state) {
    auto& row = rows_[request];
    loss added{lost.process, state, sent_at(lost), clock_.now(), lost.progress};
    added.is_silent = lost.silent_since || lost.silence_ms > 0;
    const auto known =
        std::find_if(row.losses.begin(), row.losses.end(),
                     [&](const loss& l) { return is_same_loss(l, added); });
    if (known == row.losses.end()) {
        row.losses.push_back(added);
    } else if (state != loss_state::sending) {
        *known = added;
    }
    note_progress(row, lost.progress);
    mark_changed(row);
}

void crash_ledger::on_sending(const request_key& request,
                              const server_process& process) {
    set_loss(request, {process}, loss_state::sending);
}

/// Returns true if a server had been lost by a request before this one was
/// sent, and nothing has come from it since.
bool crash_ledger::had_fallen_silent(const server_loss& lost) const {
    const auto known = processes_.find(lost.process);
    if (!lost.silent_since || known == processes_.end()) {
        return false;
    }
    return known->second.lost_at <= sent_at(lost) &&
           *lost.silent_since <= known->second.lost_at;
}

std::vector<crash_ledger::lost_process> crash_ledger::lost_processes() const {
    std::vector<lost_process> lost;
    lost.reserve(processes_.size());
    for (const auto& [process, row] : processes_) {
        lost.push_back({process, row.lost_at});
    }
    return lost;
}

bool crash_ledger::on_lost(const request_key& request,
                           const server_loss& lost) {
    if (lost.is_unseen || had_fallen_silent(lost)) {
        doubtful_sends_.insert(request);
        return false;
    }
    set_loss(request, lost, loss_state::suspected);
    rows_.at(request).is_limit_confirmed = false;
    abandoned_.erase(request, lost.process);
    auto& process = processes_[lost.process];
    if (!process.is_noticed) {
        process.service = lost.service;
        process.server_count = lost.server_count;
        process.lost_at = clock_.now();
        process.is_noticed = true;
        ++process_changes_;
    }
    if (!lost.silent_since && lost.silence_ms == 0) {
        process.broke_at = clock_.now();
    }
    return true;
}

/// Returns true if a run has gone past a loss: in the text, and in the time and
/// the events since the start of the run.
bool crash_ledger::is_outlived(const loss& l, const run_progress& progress,
                               int required_events) {
    const auto& lost = l.progress;
    const int more_events =
        std::max(required_events, lost.run_events / clearing_divisor);
    return progress.text_events - lost.text_events >= required_events &&
           progress.run_events - lost.run_events >= more_events &&
           progress.run_ms >= lost.run_ms + lost.run_ms / clearing_divisor;
}

int crash_ledger::on_progress(const request_key& request,
                              const run_progress& progress) {
    const auto found = rows_.find(request);
    if (found == rows_.end()) {
        return 0;
    }
    auto& row = found->second;
    note_progress(row, progress);
    const int required =
        required_events(row.cleared_losses() + count_losses(row));
    const auto end = std::stable_partition(
        row.losses.begin(), row.losses.end(), [&](const loss& l) {
            return l.state == loss_state::sending ||
                   !is_outlived(l, progress, required);
        });
    const auto cleared = static_cast<int>(row.losses.end() - end);
    if (cleared > 0) {
        std::for_each(end, row.losses.end(), [&](const loss& l) {
            row.cleared.push_back({l.process, l.state == loss_state::ended,
                                   l.lost_at, l.is_silent});
        });
        row.losses.erase(end, row.losses.end());
        mark_changed(row);
    }
    return cleared;
}

void crash_ledger::on_survived(const request_key& request,
                               const server_process& process) {
    const auto found = rows_.find(request);
    if (found == rows_.end()) {
        return;
    }
    auto& losses = found->second.losses;
    const auto sent =
        std::find_if(losses.begin(), losses.end(), [&](const loss& l) {
            return l.process == process && l.state == loss_state::sending;
        });
    if (sent != losses.end()) {
        losses.erase(sent);
        mark_changed(found->second);
    }
}

void crash_ledger::on_finished(const request_key& request) {
    abandoned_.erase(request);
    doubtful_sends_.erase(request);
    const auto found = rows_.find(request);
    if (found != rows_.end()) {
        found->second.clear();
        mark_changed(found->second);
    }
}

void crash_ledger::set_ended(process_row& row) {
    row.ended = true;
    row.ended_at = clock_.now();
    ++process_changes_;
}

void crash_ledger::on_ended(const server_process& process) {
    const auto lost = processes_.find(process);
    if (lost != processes_.end() && !lost->second.ended) {
        set_ended(lost->second);
    }
    for (auto& [request, row] : rows_) {
        for (auto& l : row.losses) {
            if (l.process == process && l.state == loss_state::suspected) {
                l.state = loss_state::ended;
                mark_changed(row);
            }
        }
        for (auto& l : row.cleared) {
            l.ended = l.ended || l.process == process;
        }
    }
    count_abandoned(process);
}

/// Returns true if the request of an unsaved row waits until it is stored.
bool crash_ledger::is_urgent(const request_row& row) {
    return row.change != row.stored_change &&
           is_last_send(static_cast<int>(row.losses.size()) +
                        cleared_losses_that_count(row));
}

bool crash_ledger::has_urgent_rows() const {
    return std::any_of(rows_.begin(), rows_.end(),
                       [](const auto& row) { return is_urgent(row.second); });
}

loss_record crash_ledger::make_record(const request_key& request,
                                      const request_row& row) const {
    loss_record record{request, {}, row.cleared_losses(), {}, row.farthest};
    for (const auto& l : row.cleared) {
        record.cleared_processes.push_back(l.process);
    }
    for (const auto& l : row.losses) {
        const auto process = processes_.find(l.process);
        const auto lost =
            process == processes_.end() ? process_row{} : process->second;
        record.losses.push_back(
            {l.process, l.state == loss_state::ended, l.progress,
             l.is_progress_known && l.state != loss_state::sending,
             lost.service, lost.server_count});
    }
    return record;
}

std::vector<crash_ledger::unsaved_row>
crash_ledger::unsaved_rows(std::size_t max_count) const {
    std::vector<unsaved_row> unsaved;
    for (const bool urgent : {true, false}) {
        for (const auto& [request, row] : rows_) {
            if (unsaved.size() >= max_count) {
                return unsaved;
            }
            if (row.change == row.stored_change || is_urgent(row) != urgent) {
                continue;
            }
            unsaved.push_back(
                {request,
                 row.change,
                 {format_key(make_loss_key(request)),
                  row.is_empty() ? std::string()
                                 : encode(make_record(request, row))}});
        }
    }
    return unsaved;
}

void crash_ledger::on_saved(const std::vector<unsaved_row>& rows) {
    for (const auto& saved : rows) {
        const auto found = rows_.find(saved.request);
        if (found == rows_.end()) {
            continue;
        }
        auto& row = found->second;
        row.stored_change = saved.change;
        if (row.is_empty() && row.change == row.stored_change) {
            rows_.erase(found);
        }
    }
}

void crash_ledger::restore(const std::map<std::string, loss_record>& stored) {
    for (const auto& [tag, record] : stored) {
        auto& row = rows_[record.request];
        row = {};
        for (const auto& process : record.cleared_processes) {
            row.cleared.push_back({process, false, clock_.now()});
        }
        // A record may have more cleared losses than processes: two at one.
        cleared_loss further;
        further.ended = true;
        further.lost_at = clock_.now();
        while (row.cleared_losses() <
               std::min(record.cleared_losses, max_ends_by_chance)) {
            row.cleared.push_back(further);
        }
        row.farthest = record.farthest;
        for (const auto& l : record.losses) {
            row.losses.push_back(
                {l.process, l.ended ? loss_state::ended : loss_state::suspected,
                 clock_.now() - l.progress.run_ms, clock_.now(), l.progress,
                 l.is_progress_known});
            note_progress(row, l.progress);
            if (l.server_count > 0) {
                processes_.try_emplace(l.process,
                                       process_row{l.service, l.server_count,
                                                   clock_.now(), l.ended, false,
                                                   clock_.now()});
            }
        }
        mark_changed(row);
        row.stored_change = row.change;
    }
}

void crash_ledger::forget_expired() {
    abandoned_.forget_expired();
    const auto now = clock_.now();
    for (auto& [request, row] : rows_) {
        if (!row.is_empty() && now - row.changed_at > retention_ms_) {
            row.clear();
            mark_changed(row);
        }
    }
    for (auto process = processes_.begin(); process != processes_.end();) {
        process = now - process->second.lost_at > retention_ms_
                      ? processes_.erase(process)
                      : std::next(process);
    }
}

void crash_ledger::clear() {
    rows_.clear();
    processes_.clear();
    abandoned_.clear();
    doubtful_sends_.clear();
    late_losses_.clear();
    registered_ends_ = 0;
}

} // namespace hibiscus::batch
