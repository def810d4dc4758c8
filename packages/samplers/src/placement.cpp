#include "hibiscus/samplers/placement.hpp"

#include <algorithm>
#include <vector>

namespace hibiscus::samplers {

namespace {

/// The pace that servers are given before any was seen, in ms an event; it
/// only has to be the same for all.
constexpr double first_pace_ms = 37;

/// The slowest of sound servers take so many times as long as the usual ones.
/// What was slower than that was in trouble, which may be over once it has not
/// been seen for a while.
constexpr double sound_spread = 1.35;

/// What a full server counts as more than an empty one. Its tokens come hardly
/// more slowly, but the longest runs, which are placed first, would all stand
/// on the fastest servers and slow each other down to their end.
constexpr double full_cost = 0.25;

/// A server at this multiple of the median pace is slow. Sound ones differ by
/// 1.3; at 1.7 a move pays for a run with a second or more to go.
constexpr double slow_factor = 1.7;

/// A pace that was last seen so long ago does not show a trouble of now, in
/// ms; that a server is one of the slower ones it still shows.
constexpr base::millis pace_age_ms = 3000;

/// How much dearer a place counts for each version that its server is ahead
/// of what the run needs: a step that needs the newer weights has no other
/// place. Less than the difference between a sound server and a slow one.
constexpr double newer_cost = 0.04;

/// The share of a server's memory up to which runs are planned, and what more
/// costs: a run that finds no memory is read in anew and waits for others.
constexpr double full_memory = 0.85;
constexpr double memory_cost = 3;

/// By how much faster a server must be for a run to move there: sound ones
/// differ by 1.3, and a pace is known to a tenth.
constexpr double worthwhile_gain = 1.15;

/// A load concerns the runs of its model only. Counted as away for the runs of
/// all models, some of the servers that several models share would be missing
/// at any time.
bool loads(const sampler_table& table, const sampler_row& row,
           const std::string& model, base::millis now) {
    if (!table.uses(base::mechanism::load_one_model)) {
        return std::any_of(row.loading.begin(), row.loading.end(),
                           [now](const auto& l) { return now < l.second; });
    }
    const auto load = row.loading.find(model);
    return load != row.loading.end() && now < load->second;
}

bool usable(const sampler_row& row, const service_name& service,
            base::millis now) {
    return row.registered.service == service && !row.registered.draining &&
           !row.unlisted && now >= row.blocked_until;
}

/// Returns the usual pace of a service: the median of those that were seen.
double usual_pace(const sampler_table& table, const service_name& service) {
    std::vector<double> paces;
    for (const auto& [id, row] : table.rows()) {
        if (row.registered.service == service && row.event_ms > 0) {
            paces.push_back(row.event_ms);
        }
    }
    if (paces.empty()) {
        return first_pace_ms;
    }
    const auto middle = paces.begin() + static_cast<long>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

/// Servers differ for good, by a third. One that had been idle for some
/// seconds was taken for the fastest of all, and the longest runs, which are
/// placed first, went to the slower ones just then.
double pace_of(const sampler_table& table, const sampler_row& row, double usual,
               base::millis now) {
    const bool fresh = now - row.event_seen < pace_age_ms;
    const bool known = fresh || table.uses(base::mechanism::remember_paces);
    if (row.event_ms <= 0 || !known) {
        return usual;
    }
    return fresh ? row.event_ms : std::min(row.event_ms, sound_spread * usual);
}

bool takes(const sampler_table& table, const sampler_row& row,
           const run_needs& needs, base::millis now) {
    return usable(row, needs.service, now) &&
           !loads(table, row, needs.model, now) &&
           row.running < row.registered.slots &&
           row.version_of(needs.model) >= needs.least;
}

double cost_of(const sampler_table& table, const sampler_row& row,
               const run_needs& needs, double usual, base::millis now) {
    double factor = 1;
    if (table.uses(base::mechanism::spread_runs)) {
        factor += full_cost * row.running / row.registered.slots;
    }
    if (table.uses(base::mechanism::spare_newer_weights)) {
        factor += newer_cost * static_cast<double>(row.version_of(needs.model) -
                                                   needs.least);
    }
    if (table.uses(base::mechanism::memory_cost)) {
        factor +=
            memory_cost *
            std::max(0.0, table.memory_share(row, needs.tokens) - full_memory);
    }
    return pace_of(table, row, usual, now) * factor;
}

} // namespace

double event_pace(const sampler_table& table, const sampler_id& id,
                  base::millis now) {
    const auto row = table.rows().find(id);
    if (row == table.rows().end()) {
        return first_pace_ms;
    }
    const auto usual = usual_pace(table, row->second.registered.service);
    return pace_of(table, row->second, usual, now);
}

std::optional<sampler_id> place_run(const sampler_table& table,
                                    const run_needs& needs, base::millis now) {
    std::optional<sampler_id> best;
    double best_cost = 0;
    const double usual = usual_pace(table, needs.service);
    for (const auto& [id, row] : table.rows()) {
        if (!takes(table, row, needs, now)) {
            continue;
        }
        const double cost = cost_of(table, row, needs, usual, now);
        if (!best || cost < best_cost) {
            best = id;
            best_cost = cost;
        }
    }
    return best;
}

std::optional<sampler_id> faster_place(const sampler_table& table,
                                       const run_needs& needs,
                                       const sampler_id& from,
                                       base::millis now) {
    const auto here = table.rows().find(from);
    if (here == table.rows().end()) {
        return std::nullopt;
    }
    const auto to = place_run(table, needs, now);
    if (!to || *to == from) {
        return std::nullopt;
    }
    const auto& there = table.rows().at(*to);
    const bool room = table.memory_share(there, needs.tokens) < full_memory;
    const double usual = usual_pace(table, needs.service);
    const bool faster = pace_of(table, there, usual, now) * worthwhile_gain <
                        pace_of(table, here->second, usual, now);
    return room && faster ? to : std::nullopt;
}

namespace {

/// A server that answered so lately may have kept its connection, in ms:
/// servers close idle ones after some seconds. Where one has not, nothing is
/// lost.
constexpr base::millis warm_ms = 8000;

/// Parts servers that are alike, so that not all nodes choose the same: less
/// than the difference of any two answers that counts.
constexpr double tie_cost = 0.005;

/// Returns the mean time of answers of a service, in ms; what a server counts
/// with that was not asked yet. Counted as the fastest, each server would be
/// asked by each node before any is asked twice.
double usual_answer(const sampler_table& table, const service_name& service) {
    double sum = 0;
    int seen = 0;
    for (const auto& [id, row] : table.rows()) {
        if (row.registered.service == service && row.answer_ms > 0) {
            sum += row.answer_ms;
            ++seen;
        }
    }
    return seen == 0 ? 0 : sum / seen;
}

} // namespace

std::optional<sampler_id> place_plain(const sampler_table& table,
                                      const service_name& service,
                                      const base::zone_id& near,
                                      const std::set<sampler_id>& tried,
                                      base::millis now) {
    const sampler_id* best = nullptr;
    double best_cost = 0;
    // A request that waits for a blocked server is worse off than one that
    // tries it: all may be blocked while only the first few were at fault.
    constexpr double blocked_cost = 1000;
    constexpr double tried_cost = 100;
    constexpr double far_cost = 0.25;
    // A node with a request each few seconds would open a connection for each
    // if it went through the servers in turn. A larger cost would keep nodes at
    // servers that have become slow.
    constexpr double cold_cost = 0.02;
    const double usual = usual_answer(table, service);
    for (const auto& [id, row] : table.rows()) {
        if (row.registered.service != service || row.registered.draining ||
            row.unlisted) {
            continue;
        }
        const bool warm = !table.uses(base::mechanism::known_servers_first) ||
                          (row.answered_at > 0 && row.running == 0 &&
                           now - row.answered_at < warm_ms);
        double cost = static_cast<double>(row.running) /
                      std::max(1, row.registered.slots);
        cost += row.registered.zone == near ? 0 : far_cost;
        cost += now < row.blocked_until ? blocked_cost : 0;
        cost += tried.count(id) != 0 ? tried_cost : 0;
        cost += (row.answer_ms > 0 ? row.answer_ms : usual) / 1000;
        cost += warm ? 0 : cold_cost;
        cost += tie_cost * row.draw;
        if (best == nullptr || cost < best_cost) {
            best = &id;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return *best;
}

std::set<sampler_id> slow_samplers(const sampler_table& table,
                                   const service_name& service,
                                   base::millis now) {
    std::vector<double> paces;
    const double usual = usual_pace(table, service);
    for (const auto& [id, row] : table.rows()) {
        if (usable(row, service, now)) {
            paces.push_back(pace_of(table, row, usual, now));
        }
    }
    std::set<sampler_id> out;
    if (paces.size() < 3) {
        return out;
    }
    const auto middle = paces.begin() + static_cast<long>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    for (const auto& [id, row] : table.rows()) {
        if (row.registered.service == service &&
            pace_of(table, row, usual, now) > slow_factor * *middle) {
            out.insert(id);
        }
    }
    return out;
}

int free_places(const sampler_table& table, const run_needs& needs,
                const std::set<sampler_id>& except, base::millis now) {
    int free = 0;
    for (const auto& [id, row] : table.rows()) {
        if (takes(table, row, needs, now) && except.count(id) == 0) {
            free += row.registered.slots - row.running;
        }
    }
    return free;
}

} // namespace hibiscus::samplers
