#include "hibiscus/samplers/run_placement.hpp"

#include <algorithm>
#include <vector>

namespace hibiscus::samplers {

namespace {

/// Event interval assumed before any was observed, in ms. The value only has to
/// be the same for all servers.
constexpr double initial_interval_ms = 37;

/// Bound of an interval that is no longer recent, as a multiple of the median:
/// slightly above the factor of 1.3 by which healthy servers differ. A longer
/// interval was due to a temporary fault, which may be over.
constexpr double max_healthy_factor = 1.35;

/// Relative additional cost of a full server. A full server produces events
/// only slightly more slowly, but without this cost the longest runs, which are
/// placed first, would all go to the fastest servers and slow each other down
/// until they end.
constexpr double full_server_cost = 0.25;

/// A server above this multiple of the median interval is slow. Healthy servers
/// differ by a factor of 1.3; at 1.7, moving a run with a second or more to go
/// pays off.
constexpr double slow_server_factor = 1.7;

/// An interval last observed longer ago than this, in ms, no longer indicates a
/// current fault. It still shows that the server is one of the slower ones.
constexpr base::millis max_interval_age_ms = 3000;

/// Relative additional cost for each version by which a server is ahead of what
/// the run requires. Keeps the servers with newer weights free for the steps
/// that can use no others. Less than the difference between a healthy server
/// and a slow one.
constexpr double newer_version_cost = 0.04;

/// Share of a server's memory up to which runs are planned. A run that finds no
/// memory has to be prefilled again and waits for other runs.
constexpr double max_memory_share = 0.85;
/// Relative additional cost per share of memory above max_memory_share.
constexpr double over_memory_cost = 3;

/// Minimum speedup for which a run moves: more than the error of an interval (a
/// tenth), less than the factor of 1.3 by which healthy servers differ.
constexpr double min_speedup = 1.15;

/// Minimum number of usable servers for classifying any as slow.
constexpr std::size_t min_servers_for_slow = 3;

/// Returns the median of a vector that is not empty.
double median(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<long>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

bool is_usable(const sampler_row& row, const service_name& service,
               base::millis now) {
    return row.registered.service == service && !row.registered.draining &&
           !row.unlisted && now >= row.blocked_until;
}

/// Returns true if the server refuses runs of `model` because of a load. A load
/// affects only the runs of its model: if it counted for the runs of all
/// models, some of the servers that several models share would always be
/// missing.
bool is_loading(const sampler_table& table, const sampler_row& row,
                const std::string& model, base::millis now) {
    if (!table.is_enabled(base::feature::load_one_model)) {
        return std::any_of(row.loading_until.begin(), row.loading_until.end(),
                           [now](const auto& l) { return now < l.second; });
    }
    const auto load = row.loading_until.find(model);
    return load != row.loading_until.end() && now < load->second;
}

} // namespace

run_placement::run_placement(const sampler_table& table, base::millis now)
    : table_(table), now_(now) {}

double run_placement::median_interval(const service_name& service) {
    const auto cached = median_intervals_.find(service);
    if (cached != median_intervals_.end()) {
        return cached->second;
    }
    std::vector<double> intervals;
    for (const auto* candidate : table_.run_candidates(service)) {
        ++servers_examined_;
        if (candidate->second.event_interval_ms > 0) {
            intervals.push_back(candidate->second.event_interval_ms);
        }
    }
    const double median_ms =
        intervals.empty() ? initial_interval_ms : median(std::move(intervals));
    median_intervals_.emplace(service, median_ms);
    return median_ms;
}

/// Returns the interval to plan with. Servers differ permanently, by a third,
/// so an old observation is bounded but not dropped: a slower server that has
/// been idle for some seconds must not be taken for the fastest, or the longest
/// runs, which are placed first, would go to it.
double run_placement::expected_interval(const sampler_row& row) {
    const double median_ms = median_interval(row.registered.service);
    const bool is_recent = now_ - row.last_event_at < max_interval_age_ms;
    const bool may_use_observation =
        is_recent || table_.is_enabled(base::feature::remember_paces);
    if (row.event_interval_ms <= 0 || !may_use_observation) {
        return median_ms;
    }
    return is_recent ? row.event_interval_ms
                     : std::min(row.event_interval_ms,
                                max_healthy_factor * median_ms);
}

double run_placement::event_interval(const sampler_id& id) {
    const auto row = table_.rows().find(id);
    return row == table_.rows().end() ? initial_interval_ms
                                      : expected_interval(row->second);
}

bool run_placement::can_take_run(const ranking_key& key,
                                 const sampler_row& row) const {
    const auto& [service, model, min_version] = key;
    return is_usable(row, service, now_) &&
           row.in_flight < row.registered.slots &&
           table_.startable_runs(row, now_) > 0 &&
           !is_loading(table_, row, model, now_) &&
           row.version_of(model) >= min_version;
}

double run_placement::base_cost(const ranking_key& key,
                                const sampler_row& row) {
    const auto& [service, model, min_version] = key;
    double factor = 1;
    if (table_.is_enabled(base::feature::spread_runs)) {
        factor += full_server_cost * row.in_flight / row.registered.slots;
    }
    if (table_.is_enabled(base::feature::spare_newer_weights)) {
        factor += newer_version_cost *
                  static_cast<double>(row.version_of(model) - min_version);
    }
    return expected_interval(row) * factor;
}

double run_placement::memory_cost(const ranked_server& server,
                                  std::int64_t tokens) {
    if (!table_.is_enabled(base::feature::memory_cost)) {
        return 0;
    }
    const double excess =
        table_.memory_share(*server.row, tokens) - max_memory_share;
    return excess <= 0
               ? 0
               : expected_interval(*server.row) * over_memory_cost * excess;
}

void run_placement::add_if_available(const ranking_key& key,
                                     ranking& server_ranking,
                                     const sampler_id& id,
                                     const sampler_row& row) {
    ++servers_examined_;
    if (!can_take_run(key, row)) {
        return;
    }
    const ranked_server server{base_cost(key, row), &id, &row,
                               std::min(row.registered.slots - row.in_flight,
                                        table_.startable_runs(row, now_))};
    server_ranking.servers.insert(server);
    server_ranking.by_row.emplace(&row, server);
    server_ranking.free_slots += server.free_slots;
}

run_placement::ranking&
run_placement::find_or_make_ranking(const run_requirements& needs) {
    const auto [entry, added] = rankings_.try_emplace(
        ranking_key(needs.service, needs.model, needs.min_version));
    if (added) {
        for (const auto* candidate : table_.run_candidates(needs.service)) {
            add_if_available(entry->first, entry->second, candidate->first,
                             candidate->second);
        }
    }
    return entry->second;
}

void run_placement::update_server(const sampler_id& id) {
    const auto row = table_.rows().find(id);
    if (row == table_.rows().end()) {
        return;
    }
    for (auto& [key, server_ranking] : rankings_) {
        const auto entry = server_ranking.by_row.find(&row->second);
        if (entry != server_ranking.by_row.end()) {
            server_ranking.free_slots -= entry->second.free_slots;
            server_ranking.servers.erase(entry->second);
            server_ranking.by_row.erase(entry);
        }
        add_if_available(key, server_ranking, row->first, row->second);
    }
}

std::optional<sampler_id>
run_placement::find_best(const run_requirements& needs,
                         const std::set<sampler_id>& except) {
    const ranked_server* best = nullptr;
    double best_cost = 0;
    for (const auto& server : find_or_make_ranking(needs).servers) {
        // The remaining servers cost more even without a memory cost.
        if (best != nullptr && server.cost >= best_cost) {
            break;
        }
        ++servers_examined_;
        if (except.count(*server.id) != 0) {
            continue;
        }
        const double cost =
            server.cost + memory_cost(server, needs.expected_tokens);
        if (best == nullptr || cost < best_cost) {
            best = &server;
            best_cost = cost;
        }
    }
    return best == nullptr ? std::nullopt
                           : std::optional<sampler_id>(*best->id);
}

bool run_placement::has_server(const run_requirements& needs,
                               const std::set<sampler_id>& except) const {
    return std::any_of(
        table_.rows().begin(), table_.rows().end(), [&](const auto& row) {
            const auto& [id, sampler] = row;
            return sampler.registered.service == needs.service &&
                   !sampler.registered.draining && !sampler.unlisted &&
                   sampler.version_of(needs.model) >= needs.min_version &&
                   except.count(id) == 0;
        });
}

std::optional<sampler_id>
run_placement::find_faster(const run_requirements& needs,
                           const sampler_id& current) {
    const auto current_row = table_.rows().find(current);
    if (current_row == table_.rows().end()) {
        return std::nullopt;
    }
    auto best = find_best(needs);
    if (!best || *best == current) {
        return std::nullopt;
    }
    const auto& best_row = table_.rows().at(*best);
    const bool has_room =
        table_.memory_share(best_row, needs.expected_tokens) < max_memory_share;
    const bool pays_off = expected_interval(best_row) * min_speedup <
                          expected_interval(current_row->second);
    return has_room && pays_off ? best : std::nullopt;
}

int run_placement::free_slots(const run_requirements& needs,
                              const std::set<sampler_id>& except) {
    const auto& server_ranking = find_or_make_ranking(needs);
    int free = server_ranking.free_slots;
    for (const auto& id : except) {
        const auto row = table_.rows().find(id);
        const auto entry = row == table_.rows().end()
                               ? server_ranking.by_row.end()
                               : server_ranking.by_row.find(&row->second);
        free -=
            entry == server_ranking.by_row.end() ? 0 : entry->second.free_slots;
    }
    return free;
}

server_counts
run_placement::count_servers(const run_requirements& needs) const {
    server_counts counts;
    for (const auto& [id, row] : table_.rows()) {
        if (row.registered.service != needs.service) {
            continue;
        }
        if (row.registered.draining) {
            ++counts.draining;
        } else if (row.unlisted) {
            ++counts.unlisted;
        } else if (row.in_flight >= row.registered.slots) {
            ++counts.full;
        } else if (now_ < row.blocked_until) {
            ++counts.blocked;
        } else if (table_.startable_runs(row, now_) == 0) {
            ++counts.start_limited;
        } else if (is_loading(table_, row, needs.model, now_)) {
            ++counts.loading;
        } else if (row.version_of(needs.model) < needs.min_version) {
            ++counts.old_weights;
        } else {
            ++counts.available;
        }
    }
    return counts;
}

const std::set<sampler_id>&
run_placement::slow_servers(const service_name& service) {
    const auto [entry, added] = slow_servers_.try_emplace(service);
    if (!added) {
        return entry->second;
    }
    const auto& candidates = table_.run_candidates(service);
    std::vector<double> intervals;
    for (const auto* candidate : candidates) {
        ++servers_examined_;
        if (is_usable(candidate->second, service, now_)) {
            intervals.push_back(expected_interval(candidate->second));
        }
    }
    if (intervals.size() < min_servers_for_slow) {
        return entry->second;
    }
    const double max_interval =
        slow_server_factor * median(std::move(intervals));
    for (const auto* candidate : candidates) {
        if (expected_interval(candidate->second) > max_interval) {
            entry->second.insert(candidate->first);
        }
    }
    return entry->second;
}

} // namespace hibiscus::samplers
