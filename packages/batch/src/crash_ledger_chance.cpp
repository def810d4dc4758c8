#include "hibiscus/batch/crash_ledger.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

/// Compares the losses of a request with the ends of servers that did not run
/// it.
namespace hibiscus::batch {

namespace {

/// How long after the last loss of a request it may wait for news of other
/// servers, in ms.
constexpr base::millis max_news_wait_ms = 500;

/// The end of a server is noticed up to this time earlier or later than that of
/// another one with the same cause, in ms.
constexpr base::millis coincidence_ms = 25;

/// Servers count as likely to end if others end in this time before or after a
/// run, in ms.
constexpr base::millis nearby_ms = 200;

/// Servers also count as likely to end if others have ended in this time before
/// the first lost run of a request, in ms.
constexpr base::millis history_ms = 10000;

/// A request is quarantined if its losses are this many times as likely under
/// the assumption that it ends its servers as by chance. Few requests do.
constexpr double quarantine_ratio = 1000;

/// Returns how many of the sorted times are in [begin, end].
double count_between(const std::vector<base::millis>& times, base::millis begin,
                     base::millis end) {
    return static_cast<double>(
        std::upper_bound(times.begin(), times.end(), end) -
        std::lower_bound(times.begin(), times.end(), begin));
}

/// Returns the rate of the sorted times in [begin, end], per ms.
double end_rate(const std::vector<base::millis>& times, base::millis begin,
                base::millis end) {
    return count_between(times, begin, end) / static_cast<double>(end - begin);
}

/// Returns the probability that a time in [begin, end] is that of one of the
/// sorted times by accident.
double accident_probability(const std::vector<base::millis>& times,
                            base::millis begin, base::millis end) {
    int moments = 0;
    base::millis last = begin - coincidence_ms - 1;
    for (const auto time : times) {
        if (time >= begin && time - last > coincidence_ms) {
            ++moments;
            last = time;
        }
    }
    return 1 - std::exp(-2.0 * coincidence_ms * moments /
                        static_cast<double>(end - begin));
}

/// Returns the probability that a server that ends by chance ends at the same
/// time as another one.
double same_cause_probability(const std::vector<base::millis>& times) {
    const auto coincident =
        std::count_if(times.begin(), times.end(), [&](base::millis time) {
            return count_between(times, time - coincidence_ms,
                                 time + coincidence_ms) > 1;
        });
    return static_cast<double>(coincident + 1) /
           static_cast<double>(times.size() + 2);
}

} // namespace

bool crash_ledger::has_loss(const request_row& row,
                            const server_process& process) {
    return row.cleared_processes.count(process) != 0 ||
           std::any_of(row.losses.begin(), row.losses.end(),
                       [&](const loss& l) { return l.process == process; });
}

crash_ledger::time_span crash_ledger::span_of(const request_row& row) {
    time_span span;
    bool is_first = true;
    for (const auto& l : row.losses) {
        if (l.state != loss_state::sending) {
            const auto sent_at = l.lost_at - l.progress.run_ms;
            span.begin = is_first ? sent_at : std::min(span.begin, sent_at);
            span.end = is_first ? l.lost_at : std::max(span.end, l.lost_at);
            is_first = false;
        }
    }
    return {span.begin - coincidence_ms, span.end + coincidence_ms};
}

/// Returns true if all losses of a request have the same position in its text,
/// as those of a request that ends its servers there.
bool crash_ledger::is_stuck(const request_row& row) {
    std::set<int> positions;
    for (const auto& l : row.losses) {
        if (l.state != loss_state::sending) {
            positions.insert(l.progress.text_events);
        }
    }
    return count_losses(row) > 1 && positions.size() == 1;
}

/// Returns the server processes that had a request for which `has_part` is
/// true, `row` left out.
template <class Predicate>
std::set<server_process>
crash_ledger::find_lost_by_others(const request_row& row,
                                  Predicate has_part) const {
    std::set<server_process> lost;
    for (const auto& [request, other] : rows_) {
        if (&other != &row && has_part(other)) {
            for (const auto& l : other.losses) {
                lost.insert(l.process);
            }
        }
    }
    return lost;
}

/// Returns the times at which servers ended without a request, sorted, up to
/// its last loss. The processes in `except` are left out.
std::vector<base::millis>
crash_ledger::find_other_ends(const request_row& row,
                              const samplers::service_name& service,
                              const std::set<server_process>& except) const {
    const auto span = span_of(row);
    std::vector<base::millis> times;
    for (const auto& [process, lost] : processes_) {
        if (lost.ended && lost.service == service &&
            lost.lost_at >= span.begin - history_ms &&
            lost.lost_at <= span.end && !has_loss(row, process) &&
            except.count(process) == 0) {
            times.push_back(lost.lost_at);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

/// Compares two explanations of the losses of a request by the ends of servers
/// without it, except those in `blamed`. If the request ends its servers, each
/// run ends with a loss, at the time of another end only by accident. By
/// chance, a run seldom meets the end of its server, but other servers may end
/// at the same time.
chance_evidence crash_ledger::compare_with_chance(
    const request_row& row, const std::set<server_process>& blamed) const {
    chance_evidence evidence;
    const auto known =
        std::find_if(row.losses.begin(), row.losses.end(), [&](const loss& l) {
            const auto found = processes_.find(l.process);
            return found != processes_.end() && found->second.server_count > 0;
        });
    if (known == row.losses.end()) {
        return evidence;
    }
    const auto& process = processes_.at(known->process);
    const auto times = find_other_ends(row, process.service, blamed);
    evidence.other_ends = static_cast<int>(times.size());
    if (evidence.other_ends < max_server_ends) {
        return evidence;
    }
    const auto span = span_of(row);
    const double usual_rate =
        std::max(end_rate(times, span.begin, span.end),
                 end_rate(times, span.begin - history_ms, span.end));
    const double accident = accident_probability(times, span.begin, span.end);
    const double same_cause = same_cause_probability(times);
    evidence.ratio = 1;
    for (const auto& l : row.losses) {
        if (l.state == loss_state::sending) {
            continue;
        }
        const auto run_ms = std::max<base::millis>(1, l.progress.run_ms);
        const double rate =
            std::max(usual_rate, end_rate(times, l.lost_at - run_ms - nearby_ms,
                                          l.lost_at + nearby_ms));
        evidence.ratio /= 1 - std::exp(-rate * static_cast<double>(run_ms) /
                                       process.server_count);
        if (count_between(times, l.lost_at - coincidence_ms,
                          l.lost_at + coincidence_ms) > 0) {
            evidence.ratio *= std::min(1.0, accident / same_cause);
        }
    }
    return evidence;
}

/// Compares chance with the other explanation as above. Other requests may have
/// caused the ends, too: those whose losses chance does not explain. And there
/// must be an end that no request with many losses may have caused.
chance_evidence
crash_ledger::compare_with_chance(const request_row& row) const {
    const auto has_many_losses = [](const request_row& other) {
        return count_losses(other) >= max_server_ends;
    };
    const auto blamed = find_lost_by_others(row, [&](const request_row& other) {
        return is_stuck(other) ||
               (has_many_losses(other) &&
                compare_with_chance(other, {}).ratio >= quarantine_ratio);
    });
    auto evidence = compare_with_chance(row, blamed);
    const auto doubtful = find_lost_by_others(row, has_many_losses);
    const bool has_clean_end =
        std::any_of(processes_.begin(), processes_.end(), [&](const auto& p) {
            return p.second.ended && span_of(row).contains(p.second.lost_at) &&
                   !has_loss(row, p.first) && doubtful.count(p.first) == 0;
        });
    if (!has_clean_end) {
        evidence.ratio = std::numeric_limits<double>::infinity();
    }
    return evidence;
}

/// Returns true if chance explains the losses of a request.
bool crash_ledger::is_chance(const request_row& row) const {
    return compare_with_chance(row).ratio < quarantine_ratio;
}

/// Returns true if another request that may end its servers is being sent. It
/// may turn out to explain the other ends.
bool crash_ledger::is_suspect_being_sent(const request_row& row) const {
    return clock_.now() < span_of(row).end + max_news_wait_ms &&
           std::any_of(rows_.begin(), rows_.end(), [&](const auto& other) {
               return &other.second != &row &&
                      count(other.second, loss_state::sending) > 0;
           });
}

/// Returns true if it is not known yet of all servers that were lost in the
/// time span of a request whether they have ended.
bool crash_ledger::may_become_chance(const request_row& row) const {
    const auto span = span_of(row);
    return clock_.now() < span.end + max_news_wait_ms &&
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
