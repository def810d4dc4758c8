#include "hibiscus/samplers/run_places.hpp"

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
constexpr double over_memory_cost = 3;

/// By how much faster a server must be for a run to move there: sound ones
/// differ by 1.3, and a pace is known to a tenth.
constexpr double worthwhile_gain = 1.15;

/// The fewest servers of which some can be called slow.
constexpr std::size_t least_servers = 3;

/// Returns the median; there must be a value.
double median(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<long>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

bool usable(const sampler_row& row, const service_name& service,
            base::millis now) {
    return row.registered.service == service && !row.registered.draining &&
           !row.unlisted && now >= row.blocked_until;
}

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

} // namespace

run_places::run_places(const sampler_table& table, base::millis now)
    : table_(table), now_(now) {}

double run_places::usual_pace(const service_name& service) {
    const auto known = usual_paces_.find(service);
    if (known != usual_paces_.end()) {
        return known->second;
    }
    std::vector<double> paces;
    for (const auto& [id, row] : table_.rows()) {
        ++looks_;
        if (row.registered.service == service && row.event_ms > 0) {
            paces.push_back(row.event_ms);
        }
    }
    const double usual =
        paces.empty() ? first_pace_ms : median(std::move(paces));
    usual_paces_.emplace(service, usual);
    return usual;
}

/// Servers differ for good, by a third. One that had been idle for some
/// seconds was taken for the fastest of all, and the longest runs, which are
/// placed first, went to the slower ones just then.
double run_places::pace_of(const sampler_row& row) {
    const double usual = usual_pace(row.registered.service);
    const bool fresh = now_ - row.event_seen < pace_age_ms;
    const bool known = fresh || table_.uses(base::mechanism::remember_paces);
    if (row.event_ms <= 0 || !known) {
        return usual;
    }
    return fresh ? row.event_ms : std::min(row.event_ms, sound_spread * usual);
}

double run_places::pace(const sampler_id& id) {
    const auto row = table_.rows().find(id);
    return row == table_.rows().end() ? first_pace_ms : pace_of(row->second);
}

bool run_places::takes(const kind& of, const sampler_row& row) const {
    const auto& [service, model, least] = of;
    return usable(row, service, now_) && row.running < row.registered.slots &&
           !loads(table_, row, model, now_) && row.version_of(model) >= least;
}

double run_places::cost_without_memory(const kind& of, const sampler_row& row) {
    const auto& [service, model, least] = of;
    double factor = 1;
    if (table_.uses(base::mechanism::spread_runs)) {
        factor += full_cost * row.running / row.registered.slots;
    }
    if (table_.uses(base::mechanism::spare_newer_weights)) {
        factor +=
            newer_cost * static_cast<double>(row.version_of(model) - least);
    }
    return pace_of(row) * factor;
}

double run_places::memory_cost(const place& at, std::int64_t tokens) {
    if (!table_.uses(base::mechanism::memory_cost)) {
        return 0;
    }
    const double over = table_.memory_share(*at.row, tokens) - full_memory;
    return over <= 0 ? 0 : pace_of(*at.row) * over_memory_cost * over;
}

void run_places::add(const kind& of, ranking& to, const sampler_id& id,
                     const sampler_row& row) {
    ++looks_;
    if (!takes(of, row)) {
        return;
    }
    const place p{cost_without_memory(of, row), &id, &row,
                  row.registered.slots - row.running};
    to.places.insert(p);
    to.by_row.emplace(&row, p);
    to.free += p.free;
}

run_places::ranking& run_places::rank(const run_needs& needs) {
    const auto [row, added] =
        rankings_.try_emplace(kind(needs.service, needs.model, needs.least));
    if (added) {
        for (const auto& [id, sampler] : table_.rows()) {
            add(row->first, row->second, id, sampler);
        }
    }
    return row->second;
}

void run_places::changed(const sampler_id& id) {
    const auto row = table_.rows().find(id);
    if (row == table_.rows().end()) {
        return;
    }
    for (auto& [of, ranked] : rankings_) {
        const auto known = ranked.by_row.find(&row->second);
        if (known != ranked.by_row.end()) {
            ranked.free -= known->second.free;
            ranked.places.erase(known->second);
            ranked.by_row.erase(known);
        }
        add(of, ranked, row->first, row->second);
    }
}

std::optional<sampler_id> run_places::best(const run_needs& needs,
                                           const std::set<sampler_id>& except) {
    const place* found = nullptr;
    double least_cost = 0;
    for (const auto& p : rank(needs).places) {
        // What is ranked behind costs more even with memory to spare.
        if (found != nullptr && p.cost >= least_cost) {
            break;
        }
        ++looks_;
        if (except.count(*p.id) != 0) {
            continue;
        }
        const double cost = p.cost + memory_cost(p, needs.tokens);
        if (found == nullptr || cost < least_cost) {
            found = &p;
            least_cost = cost;
        }
    }
    return found == nullptr ? std::nullopt
                            : std::optional<sampler_id>(*found->id);
}

bool run_places::exists(const run_needs& needs,
                        const std::set<sampler_id>& except) const {
    return std::any_of(table_.rows().begin(), table_.rows().end(),
                       [&](const auto& row) {
                           const auto& [id, s] = row;
                           return s.registered.service == needs.service &&
                                  !s.registered.draining && !s.unlisted &&
                                  s.version_of(needs.model) >= needs.least &&
                                  except.count(id) == 0;
                       });
}

std::optional<sampler_id> run_places::faster(const run_needs& needs,
                                             const sampler_id& from) {
    const auto here = table_.rows().find(from);
    if (here == table_.rows().end()) {
        return std::nullopt;
    }
    auto to = best(needs);
    if (!to || *to == from) {
        return std::nullopt;
    }
    const auto& there = table_.rows().at(*to);
    const bool room = table_.memory_share(there, needs.tokens) < full_memory;
    const bool pays = pace_of(there) * worthwhile_gain < pace_of(here->second);
    return room && pays ? to : std::nullopt;
}

int run_places::free(const run_needs& needs,
                     const std::set<sampler_id>& except) {
    const auto& ranked = rank(needs);
    int free = ranked.free;
    for (const auto& id : except) {
        const auto row = table_.rows().find(id);
        const auto known = row == table_.rows().end()
                               ? ranked.by_row.end()
                               : ranked.by_row.find(&row->second);
        free -= known == ranked.by_row.end() ? 0 : known->second.free;
    }
    return free;
}

server_counts run_places::count(const run_needs& needs) const {
    server_counts out;
    for (const auto& [id, row] : table_.rows()) {
        if (row.registered.service != needs.service) {
            continue;
        }
        if (row.registered.draining) {
            ++out.draining;
        } else if (row.unlisted) {
            ++out.unlisted;
        } else if (row.running >= row.registered.slots) {
            ++out.full;
        } else if (now_ < row.blocked_until) {
            ++out.blocked;
        } else if (loads(table_, row, needs.model, now_)) {
            ++out.loading;
        } else if (row.version_of(needs.model) < needs.least) {
            ++out.old_weights;
        } else {
            ++out.open;
        }
    }
    return out;
}

const std::set<sampler_id>& run_places::slow(const service_name& service) {
    const auto [known, added] = slow_.try_emplace(service);
    if (!added) {
        return known->second;
    }
    std::vector<double> paces;
    for (const auto& [id, row] : table_.rows()) {
        ++looks_;
        if (usable(row, service, now_)) {
            paces.push_back(pace_of(row));
        }
    }
    if (paces.size() < least_servers) {
        return known->second;
    }
    const double most = slow_factor * median(std::move(paces));
    for (const auto& [id, row] : table_.rows()) {
        if (row.registered.service == service && pace_of(row) > most) {
            known->second.insert(id);
        }
    }
    return known->second;
}

} // namespace hibiscus::samplers
