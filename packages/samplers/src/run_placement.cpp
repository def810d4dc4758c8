#include "hibiscus/samplers/run_placement.hpp"

#include <algorithm>
#include <vector>

namespace hibiscus::samplers {

namespace {

/// The pace that servers are given before any was seen, in ms an event; it
/// only has to be the same for all.
constexpr double initial_interval_ms = 37;

/// The slowest of sound servers take so many times as long as the usual ones.
/// What was slower than that was in trouble, which may be over once it has not
/// been seen for a while.
constexpr double max_healthy_factor = 1.35;

/// What a full server counts as more than an empty one. Its tokens come hardly
/// more slowly, but the longest runs, which are placed first, would all stand
/// on the fastest servers and slow each other down to their end.
constexpr double full_server_cost = 0.25;

/// A server at this multiple of the median pace is slow. Sound ones differ by
/// 1.3; at 1.7 a move pays for a run with a second or more to go.
constexpr double slow_server_factor = 1.7;

/// A pace that was last seen so long ago does not show a trouble of now, in
/// ms; that a server is one of the slower ones it still shows.
constexpr base::millis max_interval_age_ms = 3000;

/// How much dearer a place counts for each version that its server is ahead
/// of what the run needs: a step that needs the newer weights has no other
/// place. Less than the difference between a sound server and a slow one.
constexpr double newer_version_cost = 0.04;

/// The share of a server's memory up to which runs are planned, and what more
/// costs: a run that finds no memory is read in anew and waits for others.
constexpr double max_memory_share = 0.85;
constexpr double over_memory_cost = 3;

/// By how much faster a server must be for a run to move there: sound ones
/// differ by 1.3, and a pace is known to a tenth.
constexpr double min_speedup = 1.15;

/// The fewest servers of which some can be called slow.
constexpr std::size_t min_servers_for_slow = 3;

/// Returns the median; there must be a value.
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

/// A load concerns the runs of its model only. Counted as away for the runs of
/// all models, some of the servers that several models share would be missing
/// at any time.
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
    const auto known = median_intervals_.find(service);
    if (known != median_intervals_.end()) {
        return known->second;
    }
    std::vector<double> paces;
    for (const auto& [id, row] : table_.rows()) {
        ++servers_examined_;
        if (row.registered.service == service && row.event_interval_ms > 0) {
            paces.push_back(row.event_interval_ms);
        }
    }
    const double usual =
        paces.empty() ? initial_interval_ms : median(std::move(paces));
    median_intervals_.emplace(service, usual);
    return usual;
}

/// Servers differ for good, by a third. One that had been idle for some
/// seconds was taken for the fastest of all, and the longest runs, which are
/// placed first, went to the slower ones just then.
double run_placement::expected_interval(const sampler_row& row) {
    const double usual = median_interval(row.registered.service);
    const bool fresh = now_ - row.last_event_at < max_interval_age_ms;
    const bool known =
        fresh || table_.is_enabled(base::feature::remember_paces);
    if (row.event_interval_ms <= 0 || !known) {
        return usual;
    }
    return fresh ? row.event_interval_ms
                 : std::min(row.event_interval_ms, max_healthy_factor * usual);
}

double run_placement::event_interval(const sampler_id& id) {
    const auto row = table_.rows().find(id);
    return row == table_.rows().end() ? initial_interval_ms
                                      : expected_interval(row->second);
}

bool run_placement::can_take_run(const ranking_key& of,
                                 const sampler_row& row) const {
    const auto& [service, model, least] = of;
    return is_usable(row, service, now_) &&
           row.in_flight < row.registered.slots &&
           !is_loading(table_, row, model, now_) &&
           row.version_of(model) >= least;
}

double run_placement::base_cost(const ranking_key& of, const sampler_row& row) {
    const auto& [service, model, least] = of;
    double factor = 1;
    if (table_.is_enabled(base::feature::spread_runs)) {
        factor += full_server_cost * row.in_flight / row.registered.slots;
    }
    if (table_.is_enabled(base::feature::spare_newer_weights)) {
        factor += newer_version_cost *
                  static_cast<double>(row.version_of(model) - least);
    }
    return expected_interval(row) * factor;
}

double run_placement::memory_cost(const ranked_server& at,
                                  std::int64_t tokens) {
    if (!table_.is_enabled(base::feature::memory_cost)) {
        return 0;
    }
    const double over = table_.memory_share(*at.row, tokens) - max_memory_share;
    return over <= 0 ? 0 : expected_interval(*at.row) * over_memory_cost * over;
}

void run_placement::add_if_available(const ranking_key& of, ranking& to,
                                     const sampler_id& id,
                                     const sampler_row& row) {
    ++servers_examined_;
    if (!can_take_run(of, row)) {
        return;
    }
    const ranked_server p{base_cost(of, row), &id, &row,
                          row.registered.slots - row.in_flight};
    to.servers.insert(p);
    to.by_row.emplace(&row, p);
    to.free_slots += p.free_slots;
}

run_placement::ranking&
run_placement::find_or_make_ranking(const run_requirements& needs) {
    const auto [row, added] = rankings_.try_emplace(
        ranking_key(needs.service, needs.model, needs.min_version));
    if (added) {
        for (const auto& [id, sampler] : table_.rows()) {
            add_if_available(row->first, row->second, id, sampler);
        }
    }
    return row->second;
}

void run_placement::update_server(const sampler_id& id) {
    const auto row = table_.rows().find(id);
    if (row == table_.rows().end()) {
        return;
    }
    for (auto& [of, ranked] : rankings_) {
        const auto known = ranked.by_row.find(&row->second);
        if (known != ranked.by_row.end()) {
            ranked.free_slots -= known->second.free_slots;
            ranked.servers.erase(known->second);
            ranked.by_row.erase(known);
        }
        add_if_available(of, ranked, row->first, row->second);
    }
}

std::optional<sampler_id>
run_placement::find_best(const run_requirements& needs,
                         const std::set<sampler_id>& except) {
    const ranked_server* found = nullptr;
    double least_cost = 0;
    for (const auto& p : find_or_make_ranking(needs).servers) {
        // What is ranked behind costs more even with memory to spare.
        if (found != nullptr && p.cost >= least_cost) {
            break;
        }
        ++servers_examined_;
        if (except.count(*p.id) != 0) {
            continue;
        }
        const double cost = p.cost + memory_cost(p, needs.expected_tokens);
        if (found == nullptr || cost < least_cost) {
            found = &p;
            least_cost = cost;
        }
    }
    return found == nullptr ? std::nullopt
                            : std::optional<sampler_id>(*found->id);
}

bool run_placement::has_server(const run_requirements& needs,
                               const std::set<sampler_id>& except) const {
    return std::any_of(
        table_.rows().begin(), table_.rows().end(), [&](const auto& row) {
            const auto& [id, s] = row;
            return s.registered.service == needs.service &&
                   !s.registered.draining && !s.unlisted &&
                   s.version_of(needs.model) >= needs.min_version &&
                   except.count(id) == 0;
        });
}

std::optional<sampler_id>
run_placement::find_faster(const run_requirements& needs,
                           const sampler_id& from) {
    const auto here = table_.rows().find(from);
    if (here == table_.rows().end()) {
        return std::nullopt;
    }
    auto to = find_best(needs);
    if (!to || *to == from) {
        return std::nullopt;
    }
    const auto& there = table_.rows().at(*to);
    const bool room =
        table_.memory_share(there, needs.expected_tokens) < max_memory_share;
    const bool pays = expected_interval(there) * min_speedup <
                      expected_interval(here->second);
    return room && pays ? to : std::nullopt;
}

int run_placement::free_slots(const run_requirements& needs,
                              const std::set<sampler_id>& except) {
    const auto& ranked = find_or_make_ranking(needs);
    int free = ranked.free_slots;
    for (const auto& id : except) {
        const auto row = table_.rows().find(id);
        const auto known = row == table_.rows().end()
                               ? ranked.by_row.end()
                               : ranked.by_row.find(&row->second);
        free -= known == ranked.by_row.end() ? 0 : known->second.free_slots;
    }
    return free;
}

server_counts
run_placement::count_servers(const run_requirements& needs) const {
    server_counts out;
    for (const auto& [id, row] : table_.rows()) {
        if (row.registered.service != needs.service) {
            continue;
        }
        if (row.registered.draining) {
            ++out.draining;
        } else if (row.unlisted) {
            ++out.unlisted;
        } else if (row.in_flight >= row.registered.slots) {
            ++out.full;
        } else if (now_ < row.blocked_until) {
            ++out.blocked;
        } else if (is_loading(table_, row, needs.model, now_)) {
            ++out.loading;
        } else if (row.version_of(needs.model) < needs.min_version) {
            ++out.old_weights;
        } else {
            ++out.available;
        }
    }
    return out;
}

const std::set<sampler_id>&
run_placement::slow_servers(const service_name& service) {
    const auto [known, added] = slow_servers_.try_emplace(service);
    if (!added) {
        return known->second;
    }
    std::vector<double> paces;
    for (const auto& [id, row] : table_.rows()) {
        ++servers_examined_;
        if (is_usable(row, service, now_)) {
            paces.push_back(expected_interval(row));
        }
    }
    if (paces.size() < min_servers_for_slow) {
        return known->second;
    }
    const double most = slow_server_factor * median(std::move(paces));
    for (const auto& [id, row] : table_.rows()) {
        if (row.registered.service == service &&
            expected_interval(row) > most) {
            known->second.insert(id);
        }
    }
    return known->second;
}

} // namespace hibiscus::samplers
