#include "hibiscus/samplers/weight_rollout.hpp"

#include "hibiscus/samplers/run_placement.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hibiscus::samplers {

namespace {

/// One in so many servers may load at a time, rounded, and at least two: as
/// many as the way to the weights takes at full speed. Fewer leave a step with
/// too few servers that have its weights.
constexpr std::size_t servers_per_load = 5;
constexpr std::size_t min_concurrent_loads = 2;

/// The share of these by which loads that are past their time may be exceeded.
/// They are known to have ended only once their servers report it, a quarter of
/// a load later, and nothing would be loaded meanwhile.
constexpr std::size_t loads_per_overdue_load = 3;

/// How often a server whose load should have ended is asked, in ms.
constexpr base::millis check_interval_ms = 200;

/// How long a server may go unasked, in ms, so that the end of its load is
/// known well enough whatever a load lasts: with the answers' way, and a
/// question that was lost.
constexpr base::millis max_check_gap_ms = 3 * check_interval_ms;

/// The pause before a server that did not take an order is asked again, in
/// ms: what it reports of itself is some 200 ms old.
constexpr base::millis order_retry_ms = 400;

/// A version that has been the newest for so long, in ms, stands: all servers
/// load it, and have it within 22 s of its naming.
constexpr base::millis stable_version_ms = 10000;

} // namespace

void weight_rollout::announce_version(const std::string& model,
                                      std::int64_t version) {
    auto& m = models_[model];
    if (version > m.newest_version) {
        m.newest_version = version;
        m.announced_at = clock_.now();
    }
}

void weight_rollout::set_wanted_slots(const std::string& model,
                                      int free_places) {
    models_[model].wanted_slots = free_places;
}

std::int64_t weight_rollout::newest_version(const std::string& model) const {
    const auto row = models_.find(model);
    return row == models_.end() ? 0 : row->second.newest_version;
}

/// A load is asked for its end from half of its usual time on. Asked only when
/// it is due, a load could never seem to be shorter than those before: once
/// some had taken long, each was found at its end seconds late, and steps went
/// without weights meanwhile.
base::millis weight_rollout::first_check_ms() const {
    return std::max(check_interval_ms, load_time_.expected_ms() / 2);
}

/// Returns from what time on a load is about to end, in ms.
base::millis weight_rollout::overdue_after_ms() const {
    return std::max(check_interval_ms,
                    load_time_.expected_ms() - check_interval_ms);
}

bool weight_rollout::may_start_load(std::size_t servers) const {
    const auto most =
        std::max(min_concurrent_loads,
                 (servers + servers_per_load / 2) / servers_per_load);
    const auto overdue =
        std::max<std::size_t>(1, most / loads_per_overdue_load);
    const auto now = clock_.now();
    std::size_t fresh = 0;
    for (const auto& [id, l] : loads_) {
        fresh += now - l.started_at < overdue_after_ms() ? 1 : 0;
    }
    // Those that are past their time are about to be reported as done; should
    // they not be, only a few more may begin.
    return fresh < most && loads_.size() < most + overdue;
}

void weight_rollout::remove_stale_loads(const sampler_table& table) {
    const auto now = clock_.now();
    for (auto l = loads_.begin(); l != loads_.end();) {
        const bool gone = table.rows().count(l->first) == 0;
        l = gone || now - l->second.started_at > load_time_.timeout_ms()
                ? loads_.erase(l)
                : std::next(l);
    }
}

bool weight_rollout::may_order(const sampler_id& id,
                               const sampler_row& row) const {
    const auto again = retry_at_.find(id);
    const bool paused =
        again != retry_at_.end() && clock_.now() < again->second;
    return !row.registered.draining && !is_loading(id) && !paused;
}

void weight_rollout::add_server(std::map<std::string, supply>& to,
                                const sampler_id& id, const sampler_row& row,
                                bool sound) const {
    const auto load = loads_.find(id);
    const bool orderable = may_order(id, row);
    const int free = std::max(0, row.registered.slots - row.in_flight);
    // Servers of a service serve the same models, so that the two maps are
    // walked through side by side.
    auto at = to.begin();
    for (const auto& [model, listed] : row.registered.versions) {
        while (at != to.end() && at->first < model) {
            ++at;
        }
        if (at == to.end() || at->first != model) {
            at = to.emplace_hint(at, model, make_supply(model));
        }
        auto& s = at->second;
        auto has = row.version_of(model);
        if (load != loads_.end() && load->second.model == model) {
            has = std::max(has, load->second.version);
        }
        const bool newest_here = sound && has >= s.newest_version;
        s.servers_with_newest += newest_here ? 1 : 0;
        s.free_slots += newest_here ? free : 0;
        s.servers_one_behind += sound && has == s.newest_version - 1 ? 1 : 0;
        if (has < s.newest_version && orderable) {
            s.candidates.push_back(
                {sound, has == s.newest_version - 1, row.in_flight, free, &id});
        }
    }
}

weight_rollout::supply
weight_rollout::make_supply(const std::string& model) const {
    supply s;
    const auto known = models_.find(model);
    if (known != models_.end()) {
        s.newest_version = known->second.newest_version;
        if (clock_.now() - known->second.announced_at < stable_version_ms) {
            s.wanted_slots = known->second.wanted_slots;
        }
    }
    const auto last = last_order_numbers_.find(model);
    s.last_order_number = last == last_order_numbers_.end() ? 0 : last->second;
    return s;
}

std::map<std::string, weight_rollout::supply>
weight_rollout::compute_supplies(const sampler_table& table) const {
    std::map<std::string, supply> out;
    const auto now = clock_.now();
    run_placement places(table, now);
    for (const auto& [id, row] : table.rows()) {
        if (row.registered.versions.empty() || row.unlisted) {
            continue;
        }
        const auto& service = row.registered.service;
        const bool sound = !row.registered.draining &&
                           now >= row.blocked_until &&
                           places.slow_servers(service).count(id) == 0;
        add_server(out, id, row, sound);
    }
    for (auto& [model, s] : out) {
        std::sort(s.candidates.begin(), s.candidates.end(),
                  [](const auto& a, const auto& b) {
                      return std::tie(b.is_healthy, a.serves_current_step,
                                      a.in_flight, *a.sampler) >
                             std::tie(a.is_healthy, b.serves_current_step,
                                      b.in_flight, *b.sampler);
                  });
    }
    return out;
}

/// Takes the best candidate of the model that is supplied worst; an order
/// without a model if there is none. Several trainers name more versions than
/// the servers can load: dealt by the version's number, the trainer that is
/// furthest behind would take all loads while the others' steps wait for
/// weights.
load_order weight_rollout::take_next_order(std::map<std::string, supply>& from,
                                           bool by_need, bool where_needed) {
    const auto may_take = [where_needed](const supply& s) {
        return !s.candidates.empty() && !(where_needed && s.is_sufficient());
    };
    const auto rank = [by_need](const supply& s) {
        return std::make_pair(by_need ? s.steps_served() : 0,
                              s.last_order_number);
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
    s.last_order_number = ++order_count_;
    last_order_numbers_[worst->first] = s.last_order_number;
    s.servers_with_newest += best.is_healthy ? 1 : 0;
    s.free_slots += best.is_healthy ? best.free_slots : 0;
    s.servers_one_behind -= best.is_healthy && best.serves_current_step ? 1 : 0;
    return {*best.sampler, worst->first, s.newest_version};
}

std::vector<load_order>
weight_rollout::take_due_orders(const sampler_table& table) {
    remove_stale_loads(table);
    const auto with_models = static_cast<std::size_t>(std::count_if(
        table.rows().begin(), table.rows().end(), [](const auto& r) {
            return !r.second.registered.versions.empty() && !r.second.unlisted;
        }));
    std::vector<load_order> out;
    if (!may_start_load(with_models)) {
        return out;
    }
    auto behind = compute_supplies(table);
    const bool by_need = table.is_enabled(base::feature::load_by_need);
    const bool where_needed =
        table.is_enabled(base::feature::load_where_needed);
    while (may_start_load(with_models)) {
        const auto order = take_next_order(behind, by_need, where_needed);
        if (order.model.empty()) {
            break;
        }
        if (!is_loading(order.sampler)) {
            start_load(order);
            out.push_back(order);
        }
    }
    return out;
}

std::vector<sampler_id> weight_rollout::take_due_checks() {
    const auto now = clock_.now();
    std::vector<sampler_id> out;
    for (auto& [id, l] : loads_) {
        if (now >= l.next_check_at) {
            l.next_check_at = now + check_interval_ms;
            l.last_seen_loading_at = std::exchange(l.last_check_at, now);
            out.push_back(id);
        }
    }
    return out;
}

void weight_rollout::start_load(const load_order& order) {
    const auto now = clock_.now();
    auto& l = loads_[order.sampler];
    l.started_at = now;
    l.next_check_at = now + first_check_ms();
    l.last_check_at = now;
    l.last_seen_loading_at = now;
    l.model = order.model;
    l.version = order.version;
}

void weight_rollout::on_order_accepted(const load_order& order) {
    start_load(order);
}

void weight_rollout::on_server_busy(const sampler_id& id) {
    const auto now = clock_.now();
    const auto l = loads_.find(id);
    if (l == loads_.end()) {
        loads_[id] = {now, now + check_interval_ms, now, now, {}, 0};
    } else {
        l->second.next_check_at = now + check_interval_ms;
    }
}

void weight_rollout::on_order_rejected(const load_order& order) {
    loads_.erase(order.sampler);
    retry_at_[order.sampler] = clock_.now() + order_retry_ms;
}

void weight_rollout::on_load_done(
    const sampler_id& id, const std::map<std::string, std::int64_t>& versions) {
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
    const auto most_gap = std::max(max_check_gap_ms, load_time_.expected_ms());
    if (loaded && now - l->second.last_seen_loading_at <= most_gap) {
        load_time_.add_sample(now - l->second.started_at);
    }
    loads_.erase(l);
}

void weight_rollout::on_load_not_needed(const sampler_id& id) {
    loads_.erase(id);
}

void weight_rollout::reset() {
    loads_.clear();
    retry_at_.clear();
}

} // namespace hibiscus::samplers
