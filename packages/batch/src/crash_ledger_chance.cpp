#include "hibiscus/batch/crash_ledger.hpp"

#include <algorithm>
#include <utility>

/// Compares the losses of a request with the ends of servers that did not run
/// it.
namespace hibiscus::batch {

namespace {

/// Ends of other servers count from this time before the first loss of a
/// request to this time after its last one, in ms.
constexpr base::millis span_margin_ms = 500;

/// Losses may be chance from this probability. Thousands of requests are at
/// servers while these end, and few requests end their servers.
constexpr double min_chance = 1e-5;

} // namespace

bool crash_ledger::has_loss(const request_row& row,
                            const server_process& process) {
    return std::any_of(row.losses.begin(), row.losses.end(),
                       [&](const loss& l) { return l.process == process; });
}

crash_ledger::time_span crash_ledger::span_of(const request_row& row) {
    time_span span;
    bool is_first = true;
    for (const auto& l : row.losses) {
        if (l.state != loss_state::sending) {
            span.begin = is_first ? l.lost_at : std::min(span.begin, l.lost_at);
            span.end = is_first ? l.lost_at : std::max(span.end, l.lost_at);
            is_first = false;
        }
    }
    return {span.begin - span_margin_ms, span.end + span_margin_ms};
}

/// Returns true if a request with these losses looks like one that ends its
/// servers: it has as many as are quarantined, or no event between any two.
bool crash_ledger::is_suspect(const request_row& row) {
    std::set<int> positions;
    for (const auto& l : row.losses) {
        if (l.state != loss_state::sending) {
            positions.insert(l.progress.text_events);
        }
    }
    const int losses = count_losses(row);
    return losses >= max_server_ends || (losses > 1 && positions.size() == 1);
}

/// Returns the server processes that may have ended because of another request.
std::set<server_process>
crash_ledger::find_blamed_on_others(const request_row& row) const {
    std::set<server_process> blamed;
    for (const auto& [request, other] : rows_) {
        if (&other != &row && is_suspect(other)) {
            for (const auto& l : other.losses) {
                blamed.insert(l.process);
            }
        }
    }
    return blamed;
}

/// Returns true if servers end so often without a request that its losses, in
/// the time for which servers had it, may be chance.
bool crash_ledger::is_chance(const request_row& row) const {
    const auto span = span_of(row);
    auto known = processes_.end();
    for (const auto& l : row.losses) {
        known = known == processes_.end() ? processes_.find(l.process) : known;
    }
    if (known == processes_.end() || known->second.server_count == 0) {
        return false;
    }
    const auto& service = known->second.service;
    const auto blamed = find_blamed_on_others(row);
    const auto other_ends =
        std::count_if(processes_.begin(), processes_.end(), [&](const auto& p) {
            return p.second.ended && p.second.service == service &&
                   span.contains(p.second.lost_at) && !has_loss(row, p.first) &&
                   blamed.count(p.first) == 0;
        });
    if (other_ends < max_server_ends) {
        return false;
    }
    base::millis run_ms = 0;
    for (const auto& l : row.losses) {
        run_ms += l.progress.run_ms;
    }
    const double expected_losses =
        static_cast<double>(other_ends) * static_cast<double>(run_ms) /
        (static_cast<double>(known->second.server_count) *
         static_cast<double>(span.end - span.begin));
    double probability = 1;
    for (int n = 1; n <= count_losses(row); ++n) {
        probability *= expected_losses / n;
    }
    return probability >= min_chance;
}

/// Returns true if it is not known yet of all servers that were lost in the
/// time span of a request whether they have ended.
bool crash_ledger::may_become_chance(const request_row& row) const {
    const auto span = span_of(row);
    return clock_.now() < span.end &&
           std::any_of(
               processes_.begin(), processes_.end(), [&](const auto& p) {
                   return !p.second.ended && span.contains(p.second.lost_at) &&
                          !has_loss(row, p.first);
               });
}

bool crash_ledger::needs_checks(const request_row& row) const {
    const auto counted =
        static_cast<int>(row.losses.size()) + cleared_losses_that_count(row);
    return counted >= max_server_ends &&
           (count(row, loss_state::suspected) > 0 || may_become_chance(row));
}

std::vector<crash_ledger::due_check> crash_ledger::take_due_checks() {
    std::vector<due_check> due;
    const auto checked_before = std::exchange(checked_at_, {});
    for (const auto& [request, row] : rows_) {
        if (!needs_checks(row)) {
            continue;
        }
        // The last loss at a process decides when its registration is old.
        std::for_each(
            row.losses.rbegin(), row.losses.rend(), [&](const loss& l) {
                if (l.state == loss_state::suspected) {
                    add_due_check(l.process, l.lost_at, checked_before, due);
                }
            });
        const auto span = span_of(row);
        for (const auto& [process, lost] : processes_) {
            if (!lost.ended && span.contains(lost.lost_at)) {
                add_due_check(process, lost.lost_at, checked_before, due);
            }
        }
    }
    return due;
}

/// Adds the check of a server process unless it was checked a moment ago.
void crash_ledger::add_due_check(const server_process& process,
                                 base::millis lost_at,
                                 const check_times& checked_before,
                                 std::vector<due_check>& due) {
    const auto now = clock_.now();
    const auto before = checked_before.find(process);
    const bool is_due = before == checked_before.end() ||
                        now - before->second >= check_interval_ms;
    if (checked_at_.emplace(process, is_due ? now : before->second).second &&
        is_due) {
        due.push_back({process, lost_at});
    }
}

} // namespace hibiscus::batch
