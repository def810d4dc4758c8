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

/// How long after its last loss it may wait for the outcome of another last
/// send, in ms. A silent server is noticed in this time.
constexpr base::millis max_suspect_wait_ms = 1200;

/// The same if the other send has begun within max_suspect_wait_ms, in ms.
constexpr base::millis max_late_suspect_wait_ms = 2 * max_suspect_wait_ms;

/// The end of a server is noticed up to this time earlier or later than that of
/// another one with the same cause, in ms.
constexpr base::millis coincidence_ms = 25;

/// Servers count as likely to end if others end in this time before or after a
/// run, in ms.
constexpr base::millis nearby_ms = 200;

/// Servers also count as likely to end if others have ended in this time before
/// the first lost run of a request, in ms.
constexpr base::millis history_ms = 10000;

/// How long after the last loss of a request ends of other servers are still
/// compared with it, in ms. It is at no server then.
constexpr base::millis aftermath_ms = 3000;

/// A request is quarantined if its losses are this many times as likely under
/// the assumption that it ends its servers as by chance. Few requests do, and
/// few of these at different points of their runs.
constexpr double quarantine_ratio = 1e3;
constexpr double different_points_ratio = 1e6;

/// The probability that a server ends under a request whose connection has
/// closed, if the request ends its servers: most servers drop it then.
constexpr double late_end_probability = 0.1;

/// When servers of a service ended without a request, compared with the time
/// span of its losses.
class end_history {
public:
    /// `times` and `noticed_times` are sorted; the latter are those of `times`
    /// that are exact. `known_until` is the time of the last one, if it came
    /// after the span.
    end_history(std::vector<base::millis> times,
                std::vector<base::millis> noticed_times,
                base::millis span_begin, base::millis span_end,
                base::millis known_until)
        : times_(std::move(times)), noticed_times_(std::move(noticed_times)),
          span_begin_(span_begin), span_end_(span_end),
          known_until_(known_until) {}

    /// Returns the probability that one of `server_count` servers ends by
    /// chance in `exposed_ms` of a run of `run_ms` up to `lost_at`.
    double end_probability(base::millis exposed_ms, base::millis run_ms,
                           base::millis lost_at, int server_count) const {
        const double rate = std::max(
            {rate_between(span_begin_, span_end_),
             rate_between(span_begin_, known_until_),
             rate_between(span_begin_ - history_ms, span_end_),
             rate_between(lost_at - run_ms - nearby_ms, lost_at + nearby_ms)});
        return 1 -
               std::exp(-rate * static_cast<double>(exposed_ms) / server_count);
    }

    /// Returns how many times as likely the time of a loss is if the request
    /// ended its server as if it shared its cause with the ends of others.
    double time_ratio(base::millis lost_at) const {
        return count_near(lost_at) > 0
                   ? std::min(1.0,
                              accident_probability() / same_cause_probability())
                   : 1;
    }

private:
    static double count_between(const std::vector<base::millis>& times,
                                base::millis begin, base::millis end) {
        return static_cast<double>(
            std::upper_bound(times.begin(), times.end(), end) -
            std::lower_bound(times.begin(), times.end(), begin));
    }

    double count_near(base::millis time) const {
        return count_between(noticed_times_, time - coincidence_ms,
                             time + coincidence_ms);
    }

    /// Returns the number of ends per ms.
    double rate_between(base::millis begin, base::millis end) const {
        return count_between(times_, begin, end) /
               static_cast<double>(end - begin);
    }

    /// Returns the probability that a time in the span is that of an end.
    double accident_probability() const {
        int moments = 0;
        base::millis last = span_begin_ - coincidence_ms - 1;
        for (const auto time : noticed_times_) {
            if (time >= span_begin_ && time <= span_end_ &&
                time - last > coincidence_ms) {
                ++moments;
                last = time;
            }
        }
        return 1 - std::exp(-2.0 * coincidence_ms * moments /
                            static_cast<double>(span_end_ - span_begin_));
    }

    /// Returns the probability that a server ends at the time of another one.
    double same_cause_probability() const {
        const auto coincident = std::count_if(
            noticed_times_.begin(), noticed_times_.end(),
            [&](base::millis time) { return count_near(time) > 1; });
        return static_cast<double>(coincident + 1) /
               static_cast<double>(noticed_times_.size() + 2);
    }

    std::vector<base::millis> times_;
    std::vector<base::millis> noticed_times_;
    base::millis span_begin_;
    base::millis span_end_;
    base::millis known_until_;
};

} // namespace

bool crash_ledger::has_loss(const request_row& row,
                            const server_process& process) {
    const auto is_there = [&](const auto& l) { return l.process == process; };
    return std::any_of(row.cleared.begin(), row.cleared.end(), is_there) ||
           std::any_of(row.losses.begin(), row.losses.end(), is_there);
}

crash_ledger::time_span crash_ledger::span_of(const request_row& row) {
    time_span span;
    bool is_first = true;
    for (const auto& l : row.losses) {
        if (l.state != loss_state::sending) {
            span.begin = is_first ? l.sent_at : std::min(span.begin, l.sent_at);
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

/// Returns the server processes at which requests for which `has_part` is true
/// had losses for which `counts` is true, `row` left out.
template <class Predicate>
std::set<server_process> crash_ledger::find_lost_by_others(
    const request_row& row, Predicate has_part,
    const std::function<bool(const loss&)>& counts) const {
    std::set<server_process> lost;
    for (const auto& [request, other] : rows_) {
        if (&other != &row && has_part(other)) {
            for (const auto& l : other.losses) {
                if (counts(l)) {
                    lost.insert(l.process);
                }
            }
        }
    }
    return lost;
}

/// Returns the ends of servers without a request, up to a while after its last
/// loss. The processes in `except` are left out.
crash_ledger::other_ends
crash_ledger::find_other_ends(const request_row& row,
                              const samplers::service_name& service,
                              const std::set<server_process>& except) const {
    const auto span = span_of(row);
    other_ends found;
    for (const auto& [process, lost] : processes_) {
        if (lost.ended && lost.service == service &&
            lost.lost_at >= span.begin - history_ms &&
            lost.lost_at <= span.end + aftermath_ms &&
            !has_loss(row, process) && except.count(process) == 0) {
            found.times.push_back(lost.lost_at);
            if (lost.is_noticed) {
                found.noticed_times.push_back(lost.lost_at);
            }
        }
    }
    std::sort(found.times.begin(), found.times.end());
    std::sort(found.noticed_times.begin(), found.noticed_times.end());
    found.known_until =
        std::max(span.end, found.times.empty() ? 0 : found.times.back());
    return found;
}

/// Returns the part of a run of `run_ms` in which the end of its server agrees
/// with that of another run.
base::millis crash_ledger::agreeing_part(base::millis run_ms) {
    return std::max<base::millis>(1, 2 * run_ms / clearing_divisor);
}

/// Returns from which ratio on chance does not explain the losses of a request.
double crash_ledger::max_ratio(const request_row& row) {
    return find_agreement(row, loss_filter::ended_or_suspected).most() <
                   max_server_ends
               ? different_points_ratio
               : quarantine_ratio;
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
    auto ends = find_other_ends(row, process.service, blamed);
    evidence.other_ends = static_cast<int>(ends.times.size());
    if (evidence.other_ends < max_server_ends) {
        return evidence;
    }
    const auto span = span_of(row);
    const end_history history(std::move(ends.times),
                              std::move(ends.noticed_times), span.begin,
                              span.end, ends.known_until);
    evidence.ratio = 1;
    bool others_agree = false;
    for (const auto& l : row.losses) {
        if (l.state == loss_state::sending) {
            continue;
        }
        const auto run_ms = std::max<base::millis>(1, l.progress.run_ms);
        const bool agrees = agrees_in_time(row, l);
        const auto exposed_ms =
            agrees && others_agree ? agreeing_part(run_ms) : run_ms;
        others_agree = others_agree || agrees;
        evidence.ratio *= (l.is_late ? late_end_probability : 1) *
                          history.time_ratio(l.lost_at) /
                          history.end_probability(exposed_ms, run_ms, l.lost_at,
                                                  process.server_count);
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
    const auto blamed = find_lost_by_others(
        row,
        [&](const request_row& other) {
            return is_stuck(other) ||
                   (has_many_losses(other) &&
                    compare_with_chance(other, {}).ratio >= max_ratio(other));
        },
        [](const loss& /*l*/) { return true; });
    auto evidence = compare_with_chance(row, blamed);
    const auto doubtful = find_lost_by_others(
        row, has_many_losses, [](const loss& l) { return !l.is_late; });
    if (!has_clean_end(row, doubtful)) {
        evidence.ratio = std::numeric_limits<double>::infinity();
    }
    return evidence;
}

/// Returns true if a server ended without a request in its time span, and is
/// not in `doubtful`.
bool crash_ledger::has_clean_end(
    const request_row& row, const std::set<server_process>& doubtful) const {
    return std::any_of(
        row.losses.begin(), row.losses.end(), [&](const loss& l) {
            const auto found = processes_.find(l.process);
            if (found == processes_.end()) {
                return false;
            }
            const auto times =
                find_other_ends(row, found->second.service, doubtful).times;
            return !times.empty() && times.back() >= span_of(row).begin;
        });
}

/// Returns true if chance explains the losses of a request.
bool crash_ledger::is_chance(const request_row& row) const {
    return compare_with_chance(row).ratio < max_ratio(row);
}

/// Returns true if another request that may end its servers is being sent. It
/// may turn out to explain the other ends.
bool crash_ledger::is_suspect_being_sent(const request_row& row) const {
    const auto now = clock_.now();
    const auto waits_since = span_of(row).end;
    const auto is_awaited = [&](const loss& l) {
        const bool is_recent = now < l.sent_at + max_suspect_wait_ms;
        return l.state == loss_state::sending &&
               now < waits_since + (is_recent ? max_late_suspect_wait_ms
                                              : max_suspect_wait_ms);
    };
    return std::any_of(rows_.begin(), rows_.end(), [&](const auto& other) {
        const auto& losses = other.second.losses;
        return &other.second != &row &&
               std::any_of(losses.begin(), losses.end(), is_awaited);
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

/// Takes in the ends that registrations have shown since the last call.
void crash_ledger::add_registered_ends() {
    if (ends_ == nullptr) {
        return;
    }
    const auto& ends = ends_->ends();
    const auto count = std::min<std::uint64_t>(
        ends.size(), ends_->change_count() - registered_ends_);
    registered_ends_ = ends_->change_count();
    for (auto end = ends.end() - static_cast<std::ptrdiff_t>(count);
         end != ends.end(); ++end) {
        const server_process process{end->server, end->started_ms};
        const bool is_new =
            processes_
                .try_emplace(process,
                             process_row{end->service, 0, end->ended_at, true,
                                         false, clock_.now()})
                .second;
        process_changes_ += is_new ? 1 : 0;
        on_ended(process);
    }
}

std::vector<crash_ledger::lost_process> crash_ledger::take_due_checks() {
    add_registered_ends();
    std::vector<lost_process> due;
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
    add_checks_of_cleared(checked_before, due);
    add_checks_of_abandoned(checked_before, due);
    for (auto& [process, lost] : processes_) {
        if (lost.is_check_due &&
            add_due_check(process, lost.lost_at, checked_before, due)) {
            lost.is_check_due = false;
        }
    }
    return due;
}

/// Adds the checks of servers that a cleared loss still takes for ended. A
/// server that is ending may respond a moment longer.
void crash_ledger::add_checks_of_cleared(const check_times& checked_before,
                                         std::vector<lost_process>& due) {
    for (const auto& [request, row] : rows_) {
        for (const auto& l : row.cleared) {
            if (!l.ended && clock_.now() - l.lost_at >= check_interval_ms) {
                add_due_check(l.process, l.lost_at, checked_before, due);
            }
        }
    }
}

/// Adds the check of a server process unless it was checked a moment ago.
/// Returns whether it was added.
bool crash_ledger::add_due_check(const server_process& process,
                                 base::millis lost_at,
                                 const check_times& checked_before,
                                 std::vector<lost_process>& due) {
    const auto now = clock_.now();
    const auto before = checked_before.find(process);
    const bool is_due = before == checked_before.end() ||
                        now - before->second >= check_interval_ms;
    const bool is_added =
        checked_at_.emplace(process, is_due ? now : before->second).second &&
        is_due;
    if (is_added) {
        due.push_back({process, lost_at});
    }
    return is_added;
}

} // namespace hibiscus::batch
