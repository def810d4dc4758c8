#include "hibiscus/batch/scoring_queue.hpp"

#include <algorithm>
#include <tuple>

namespace hibiscus::batch {

namespace {

/// The mean delay of the first repeat, and the longest one, in ms.
constexpr base::millis first_retry_delay_ms = 100;
constexpr int max_retry_doublings = 4;

/// The longest time that a service may ask to wait, in ms. Its backlog may
/// shrink sooner than it expects.
constexpr base::millis max_retry_after_ms = 2000;

/// Spread of the repeats around a time that the service asked for.
constexpr double retry_after_spread = 0.25;

/// The time over which answers are counted to estimate their rate, in ms, and
/// the time for which calls must have been queued before the estimate is used.
constexpr base::millis rate_period_ms = 2000;
constexpr base::millis min_backlog_ms = 500;

/// The expected wait while no call is answered, in ms.
constexpr base::millis max_wait_ms = 60000;

constexpr int permille = 1000;

} // namespace

void scoring_queue::set_capacity(const samplers::service_name& service,
                                 int slots) {
    services_[service].window.set_capacity(slots);
}

void scoring_queue::add(scoring_call call, base::millis now) {
    auto& service = services_[call.service];
    if (service.queue.empty()) {
        service.backlog_since = now;
    }
    unscored_items_[{call.job, call.group}] = call.unscored_items;
    service.queue.push_back(std::move(call));
}

/// Groups are compared by the share of their items without a score, so that a
/// group that has begun is finished before another one begins, and large groups
/// don't stay behind small ones.
int scoring_queue::unscored_permille(const scoring_call& call) const {
    const auto unscored = unscored_items_.find({call.job, call.group});
    return (unscored == unscored_items_.end() ? call.unscored_items
                                              : unscored->second) *
           permille / std::max(1, call.group_items);
}

std::size_t scoring_queue::find_first(const service_state& service,
                                      base::millis now) const {
    const auto rank = [&](const scoring_call& call) {
        return std::make_tuple(now > call.target_at, unscored_permille(call),
                               !call.is_resubmitted, call.target_at);
    };
    std::size_t first = 0;
    auto first_rank = rank(service.queue.front());
    for (std::size_t n = 1; n < service.queue.size(); ++n) {
        const auto next_rank = rank(service.queue[n]);
        if (next_rank < first_rank) {
            first = n;
            first_rank = next_rank;
        }
    }
    return first;
}

std::optional<scoring_queue::taken_call>
scoring_queue::take_next(base::millis now) {
    for (auto& [name, service] : services_) {
        auto& held = service.held_until;
        held.erase(held.begin(), held.upper_bound(now));
        if (service.queue.empty() ||
            service.in_flight + static_cast<int>(held.size()) >=
                service.window.size()) {
            continue;
        }
        const auto first =
            service.queue.begin() +
            static_cast<std::ptrdiff_t>(find_first(service, now));
        taken_call taken{++last_number_, std::move(*first),
                         service.window.time_limit()};
        service.queue.erase(first);
        ++service.in_flight;
        in_flight_[taken.number] = {taken.call, now};
        return taken;
    }
    return std::nullopt;
}

base::millis scoring_queue::on_ended(scoring_number number, scoring_end end,
                                     base::millis retry_after_ms,
                                     double fraction, base::millis now) {
    const auto found = in_flight_.find(number);
    if (found == in_flight_.end()) {
        return 0;
    }
    const auto sent = std::move(found->second);
    in_flight_.erase(found);
    auto& service = services_[sent.call.service];
    switch (end) {
    case scoring_end::scored:
    case scoring_end::failed:
        service.window.on_answered(now - sent.sent_at, service.in_flight, now);
        service.answered_at.push_back(now);
        break;
    case scoring_end::rejected:
        service.held_until.insert(now + service.window.on_rejected(now));
        break;
    case scoring_end::timed_out:
        service.window.on_timeout(now);
        break;
    }
    while (!service.answered_at.empty() &&
           service.answered_at.front() < now - rate_period_ms) {
        service.answered_at.pop_front();
    }
    --service.in_flight;
    const std::pair item(sent.call.job, sent.call.item_index);
    if (end == scoring_end::scored) {
        --unscored_items_[{sent.call.job, sent.call.group}];
        failed_tries_.erase(item);
        return 0;
    }
    const int tries = std::min(failed_tries_[item]++, max_retry_doublings);
    const auto delay =
        static_cast<double>(first_retry_delay_ms << tries) * (0.5 + fraction);
    const auto asked =
        static_cast<double>(std::min(retry_after_ms, max_retry_after_ms)) *
        (1 + retry_after_spread * fraction);
    return static_cast<base::millis>(std::max(delay, asked));
}

scoring_queue::dropped_calls scoring_queue::drop_job(const job_id& id) {
    dropped_calls dropped;
    for (auto& [name, service] : services_) {
        auto& queue = service.queue;
        const auto kept = std::remove_if(
            queue.begin(), queue.end(),
            [&](const scoring_call& call) { return call.job == id; });
        dropped.queued += static_cast<int>(queue.end() - kept);
        queue.erase(kept, queue.end());
    }
    for (auto sent = in_flight_.begin(); sent != in_flight_.end();) {
        if (sent->second.call.job == id) {
            dropped.in_flight.push_back(sent->first);
            --services_[sent->second.call.service].in_flight;
            sent = in_flight_.erase(sent);
        } else {
            ++sent;
        }
    }
    const auto erase_job = [&](auto& by_key) {
        for (auto row = by_key.begin(); row != by_key.end();) {
            row = row->first.first == id ? by_key.erase(row) : std::next(row);
        }
    };
    erase_job(unscored_items_);
    erase_job(failed_tries_);
    return dropped;
}

std::set<job_id> scoring_queue::jobs() const {
    std::set<job_id> ids;
    for (const auto& row : unscored_items_) {
        ids.insert(row.first.first);
    }
    return ids;
}

base::millis scoring_queue::expected_wait(const service_state& service,
                                          base::millis now) {
    const auto since = std::max(service.backlog_since, now - rate_period_ms);
    if (service.queue.empty() || now - since < min_backlog_ms) {
        return 0;
    }
    const auto answered =
        std::count_if(service.answered_at.begin(), service.answered_at.end(),
                      [&](base::millis at) { return at >= since; });
    if (answered == 0) {
        return max_wait_ms;
    }
    const auto calls = static_cast<base::millis>(service.queue.size()) + 1;
    return std::min(max_wait_ms, calls * (now - since) / answered);
}

std::vector<scoring_status> scoring_queue::status(base::millis now) const {
    std::vector<scoring_status> result;
    result.reserve(services_.size());
    for (const auto& [name, service] : services_) {
        result.push_back({name, static_cast<int>(service.queue.size()),
                          service.in_flight, service.window.size(),
                          expected_wait(service, now)});
    }
    return result;
}

std::map<job_id, base::millis>
scoring_queue::job_delays(base::millis now) const {
    std::map<job_id, base::millis> delays;
    for (const auto& row : services_) {
        const auto wait = expected_wait(row.second, now);
        for (const auto& call : row.second.queue) {
            if (wait > 0) {
                auto& delay = delays[call.job];
                delay = std::max(delay, wait);
            }
        }
    }
    return delays;
}

int scoring_queue::queued_count() const {
    int count = 0;
    for (const auto& row : services_) {
        count += static_cast<int>(row.second.queue.size());
    }
    return count;
}

} // namespace hibiscus::batch
