#include "hibiscus/samplers/weight_rollout.hpp"

#include "hibiscus/samplers/run_places.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hibiscus::samplers {

namespace {

/// One in so many servers may load at a time, rounded, and at least two: as
/// many as the way to the weights takes at full speed. Fewer leave a step with
/// too few servers that have its weights.
constexpr std::size_t loading_share = 5;
constexpr std::size_t least_loading = 2;

/// The share of these by which loads that are past their time may be exceeded.
/// They are known to have ended only once their servers report it, a quarter of
/// a load later, and nothing would be loaded meanwhile.
constexpr std::size_t overdue_share = 3;

/// How often a server whose load should have ended is asked, in ms.
constexpr base::millis check_ms = 200;

/// How long a server may go unasked, in ms, so that the end of its load is
/// known well enough whatever a load lasts: with the answers' way, and a
/// question that was lost.
constexpr base::millis most_gap_ms = 3 * check_ms;

/// The pause before a server that did not take an order is asked again, in
/// ms: what it reports of itself is some 200 ms old.
constexpr base::millis retry_ms = 400;

/// A version that has been the newest for so long, in ms, stands: all servers
/// load it, and have it within 22 s of its naming.
constexpr base::millis standing_ms = 10000;

} // namespace

void weight_rollout::name_version(const std::string& model,
                                  std::int64_t version) {
    auto& m = models_[model];
    if (version > m.newest) {
        m.newest = version;
        m.named_at = clock_.now();
    }
}

void weight_rollout::want(const std::string& model, int free_places) {
    models_[model].wanted = free_places;
}

std::int64_t weight_rollout::newest(const std::string& model) const {
    const auto row = models_.find(model);
    return row == models_.end() ? 0 : row->second.newest;
}

/// A load is asked for its end from half of its usual time on. Asked only when
/// it is due, a load could never seem to be shorter than those before: once
/// some had taken long, each was found at its end seconds late, and steps went
/// without weights meanwhile.
base::millis weight_rollout::first_check_ms() const {
    return std::max(check_ms, load_time_.expected_ms() / 2);
}

/// Returns from what time on a load is about to end, in ms.
base::millis weight_rollout::nearly_due_ms() const {
    return std::max(check_ms, load_time_.expected_ms() - check_ms);
}

bool weight_rollout::has_room(std::size_t servers) const {
    const auto most =
        std::max(least_loading, (servers + loading_share / 2) / loading_share);
    const auto overdue = std::max<std::size_t>(1, most / overdue_share);
    const auto now = clock_.now();
    std::size_t fresh = 0;
    for (const auto& [id, l] : loads_) {
        fresh += now - l.since < nearly_due_ms() ? 1 : 0;
    }
    // Those that are past their time are about to be reported as done; should
    // they not be, only a few more may begin.
    return fresh < most && loads_.size() < most + overdue;
}

void weight_rollout::forget_old(const sampler_table& table) {
    const auto now = clock_.now();
    for (auto l = loads_.begin(); l != loads_.end();) {
        const bool gone = table.rows().count(l->first) == 0;
        l = gone || now - l->second.since > load_time_.longest_ms()
                ? loads_.erase(l)
                : std::next(l);
    }
}

bool weight_rollout::may_order(const sampler_id& id,
                               const sampler_row& row) const {
    const auto again = ask_again_.find(id);
    const bool paused =
        again != ask_again_.end() && clock_.now() < again->second;
    return !row.registered.draining && !loading(id) && !paused;
}

void weight_rollout::add_server(std::map<std::string, supply>& to,
                                const sampler_id& id, const sampler_row& row,
                                bool sound) const {
    const auto load = loads_.find(id);
    const bool orderable = may_order(id, row);
    const int free = std::max(0, row.registered.slots - row.running);
    // Servers of a service serve the same models, so that the two maps are
    // walked through side by side.
    auto at = to.begin();
    for (const auto& [model, listed] : row.registered.versions) {
        while (at != to.end() && at->first < model) {
            ++at;
        }
        if (at == to.end() || at->first != model) {
            at = to.emplace_hint(at, model, new_supply(model));
        }
        auto& s = at->second;
        auto has = row.version_of(model);
        if (load != loads_.end() && load->second.model == model) {
            has = std::max(has, load->second.version);
        }
        const bool newest_here = sound && has >= s.newest;
        s.newest_there += newest_here ? 1 : 0;
        s.free_places += newest_here ? free : 0;
        s.one_behind += sound && has == s.newest - 1 ? 1 : 0;
        if (has < s.newest && orderable) {
            s.candidates.push_back(
                {sound, has == s.newest - 1, row.running, free, &id});
        }
    }
}

weight_rollout::supply
weight_rollout::new_supply(const std::string& model) const {
    supply s;
    const auto known = models_.find(model);
    if (known != models_.end()) {
        s.newest = known->second.newest;
        if (clock_.now() - known->second.named_at < standing_ms) {
            s.wanted = known->second.wanted;
        }
    }
    const auto last = last_order_.find(model);
    s.last_order = last == last_order_.end() ? 0 : last->second;
    return s;
}

std::map<std::string, weight_rollout::supply>
weight_rollout::supplies(const sampler_table& table) const {
    std::map<std::string, supply> out;
    const auto now = clock_.now();
    run_places places(table, now);
    for (const auto& [id, row] : table.rows()) {
        if (row.registered.versions.empty() || row.unlisted) {
            continue;
        }
        const auto& service = row.registered.service;
        const bool sound = !row.registered.draining &&
                           now >= row.blocked_until &&
                           places.slow(service).count(id) == 0;
        add_server(out, id, row, sound);
    }
    for (auto& [model, s] : out) {
        std::sort(s.candidates.begin(), s.candidates.end(),
                  [](const auto& a, const auto& b) {
                      return std::tie(b.sound, a.useful, a.running,
                                      *a.sampler) >
                             std::tie(a.sound, b.useful, b.running, *b.sampler);
                  });
    }
    return out;
}

/// Takes the best candidate of the model that is supplied worst; an order
/// without a model if there is none. Several trainers name more versions than
/// the servers can load: dealt by the version's number, the trainer that is
/// furthest behind would take all loads while the others' steps wait for
/// weights.
load_order weight_rollout::take_next(std::map<std::string, supply>& from,
                                     bool by_need, bool where_needed) {
    const auto may_take = [where_needed](const supply& s) {
        return !s.candidates.empty() && !(where_needed && s.enough());
    };
    const auto rank = [by_need](const supply& s) {
        return std::make_pair(by_need ? s.steps_served() : 0, s.last_order);
    };
    auto worst = from.end();
    for (auto s = from.begin(); s != from.end(); ++s) {
        if (may_take(s->second) &&
            (worst == from.end() || rank(s->second) < rank(worst->second))) {
            worst = s;
        }
    }
    if (worst == from.end()) {
        return {};
    }
    auto& s = worst->second;
    const auto best = s.candidates.back();
    s.candidates.pop_back();
    s.last_order = ++orders_;
    last_order_[worst->first] = s.last_order;
    s.newest_there += best.sound ? 1 : 0;
    s.free_places += best.sound ? best.free_places : 0;
    s.one_behind -= best.sound && best.useful ? 1 : 0;
    return {*best.sampler, worst->first, s.newest};
}

std::vector<load_order> weight_rollout::due(const sampler_table& table) {
    forget_old(table);
    const auto with_models = static_cast<std::size_t>(std::count_if(
        table.rows().begin(), table.rows().end(), [](const auto& r) {
            return !r.second.registered.versions.empty() && !r.second.unlisted;
        }));
    std::vector<load_order> out;
    if (!has_room(with_models)) {
        return out;
    }
    auto behind = supplies(table);
    const bool by_need = table.uses(base::mechanism::load_by_need);
    const bool where_needed = table.uses(base::mechanism::load_where_needed);
    while (has_room(with_models)) {
        const auto order = take_next(behind, by_need, where_needed);
        if (order.model.empty()) {
            break;
        }
        if (!loading(order.sampler)) {
            begin(order);
            out.push_back(order);
        }
    }
    return out;
}

std::vector<sampler_id> weight_rollout::checks() {
    const auto now = clock_.now();
    std::vector<sampler_id> out;
    for (auto& [id, l] : loads_) {
        if (now >= l.check_at) {
            l.check_at = now + check_ms;
            l.loading_at = std::exchange(l.asked_at, now);
            out.push_back(id);
        }
    }
    return out;
}

void weight_rollout::begin(const load_order& order) {
    const auto now = clock_.now();
    auto& l = loads_[order.sampler];
    l.since = now;
    l.check_at = now + first_check_ms();
    l.asked_at = now;
    l.loading_at = now;
    l.model = order.model;
    l.version = order.version;
}

void weight_rollout::accepted(const load_order& order) {
    begin(order);
}

void weight_rollout::busy(const sampler_id& id) {
    const auto now = clock_.now();
    const auto l = loads_.find(id);
    if (l == loads_.end()) {
        loads_[id] = {now, now + check_ms, now, now, {}, 0};
    } else {
        l->second.check_at = now + check_ms;
    }
}

void weight_rollout::not_taken(const load_order& order) {
    loads_.erase(order.sampler);
    ask_again_[order.sampler] = clock_.now() + retry_ms;
}

void weight_rollout::done(const sampler_id& id,
                          const std::map<std::string, std::int64_t>& versions) {
    const auto l = loads_.find(id);
    if (l == loads_.end()) {
        return;
    }
    // A server that started anew meanwhile has not loaded anything, and says
    // nothing of how long a load lasts. Nor does one that nobody could ask for
    // long, as while the store is away: the load may have ended at any time.
    const auto now = clock_.now();
    const auto has = versions.find(l->second.model);
    const bool loaded =
        has != versions.end() && has->second >= l->second.version;
    const auto most_gap = std::max(most_gap_ms, load_time_.expected_ms());
    if (loaded && now - l->second.loading_at <= most_gap) {
        load_time_.took(now - l->second.since);
    }
    loads_.erase(l);
}

void weight_rollout::not_needed(const sampler_id& id) {
    loads_.erase(id);
}

void weight_rollout::reset() {
    loads_.clear();
    ask_again_.clear();
}

} // namespace hibiscus::samplers
