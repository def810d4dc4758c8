#include "hibiscus/samplers/weight_rollout.hpp"

#include "hibiscus/samplers/run_placement.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hibiscus::samplers {

namespace {

/// One in this many servers may load at a time, rounded, but at least
/// min_concurrent_loads. This many use the full bandwidth to the weights; with
/// fewer, a step would have too few servers with its weights.
constexpr std::size_t servers_per_concurrent_load = 5;
constexpr std::size_t min_concurrent_loads = 2;

/// While loads are about to end, a further third of the allowed loads may
/// start. A load is known to have ended only when its server reports it, a
/// quarter of a load later, and no load would start meanwhile.
constexpr std::size_t extra_load_divisor = 3;

/// Interval between two checks of a load that is about to end, in ms.
constexpr base::millis check_interval_ms = 200;

/// Longest time between the last two checks of a load, in ms, with which its
/// end is known precisely enough, however long a load takes. Allows for the
/// latency of responses and one lost check.
constexpr base::millis max_check_gap_ms = 3 * check_interval_ms;

/// Delay before a server that did not accept an order gets another one, in ms.
/// What a server reports of itself is some 200 ms old.
constexpr base::millis order_retry_ms = 400;

/// A version that has been the newest for this long, in ms, is stable: all
/// servers load it, within 22 s of its announcement in a fleet of 200 servers
/// with loads of 0.9 s.
constexpr base::millis stable_version_ms = 10000;

/// Returns the number of servers that may have weights and take runs.
std::size_t count_loadable_servers(const sampler_table& table) {
    std::size_t count = 0;
    for (const auto& service : table.services()) {
        const auto& candidates = table.run_candidates(service);
        count += static_cast<std::size_t>(std::count_if(
            candidates.begin(), candidates.end(), [](const auto* c) {
                return !c->second.registered.versions.empty();
            }));
    }
    return count;
}

} // namespace

void weight_rollout::announce_version(const std::string& model,
                                      std::int64_t version) {
    auto& state = models_[model];
    if (version > state.newest_version) {
        state.newest_version = version;
        state.announced_at = clock_.now();
    }
}

void weight_rollout::set_wanted_slots(const std::string& model,
                                      int free_slots) {
    models_[model].wanted_slots = free_slots;
}

std::int64_t weight_rollout::newest_version(const std::string& model) const {
    const auto state = models_.find(model);
    return state == models_.end() ? 0 : state->second.newest_version;
}

/// Returns the time from the start of a load to its first check, in ms: half of
/// the expected time. If loads were checked only when due, none could appear
/// shorter than those before it. After some slow loads, the end of each load
/// would be noticed seconds late, and steps would lack weights meanwhile.
base::millis weight_rollout::first_check_ms() const {
    return std::max(check_interval_ms, load_time_.expected_ms() / 2);
}

/// Returns the age from which a load is expected to end soon, in ms.
base::millis weight_rollout::ending_soon_after_ms() const {
    return std::max(check_interval_ms,
                    load_time_.expected_ms() - check_interval_ms);
}

bool weight_rollout::may_start_load(std::size_t server_count) const {
    const auto max_loads = std::max(
        min_concurrent_loads, (server_count + servers_per_concurrent_load / 2) /
                                  servers_per_concurrent_load);
    const auto max_extra_loads =
        std::max<std::size_t>(1, max_loads / extra_load_divisor);
    const auto now = clock_.now();
    std::size_t not_ending_soon = 0;
    for (const auto& [id, load] : loads_) {
        not_ending_soon +=
            now - load.started_at < ending_soon_after_ms() ? 1 : 0;
    }
    // Loads that end soon are about to be reported as done. In case they are
    // not, only a few more may start.
    return not_ending_soon < max_loads &&
           loads_.size() < max_loads + max_extra_loads;
}

void weight_rollout::remove_stale_loads(const sampler_table& table) {
    const auto now = clock_.now();
    for (auto load = loads_.begin(); load != loads_.end();) {
        const bool is_removed = table.rows().count(load->first) == 0;
        load = is_removed ||
                       now - load->second.started_at > load_time_.timeout_ms()
                   ? loads_.erase(load)
                   : std::next(load);
    }
}

bool weight_rollout::can_receive_order(const sampler_id& id,
                                       const sampler_row& row) const {
    const auto retry = retry_at_.find(id);
    const bool is_delayed =
        retry != retry_at_.end() && clock_.now() < retry->second;
    return !row.registered.draining && !is_loading(id) && !is_delayed;
}

void weight_rollout::add_server(std::map<std::string, supply>& supplies,
                                const sampler_id& id, const sampler_row& row,
                                bool is_healthy) const {
    const auto load = loads_.find(id);
    const bool can_receive = can_receive_order(id, row);
    const int free = std::max(0, row.registered.slots - row.in_flight);
    // Servers of a service serve the same models, so both sorted maps are
    // iterated side by side.
    auto entry = supplies.begin();
    for (const auto& [model, registered_version] : row.registered.versions) {
        while (entry != supplies.end() && entry->first < model) {
            ++entry;
        }
        if (entry == supplies.end() || entry->first != model) {
            entry = supplies.emplace_hint(entry, model, make_supply(model));
        }
        auto& model_supply = entry->second;
        auto version = row.version_of(model);
        if (load != loads_.end() && load->second.model == model) {
            version = std::max(version, load->second.version);
        }
        const bool has_newest =
            is_healthy && version >= model_supply.newest_version;
        model_supply.servers_with_newest += has_newest ? 1 : 0;
        model_supply.free_slots += has_newest ? free : 0;
        model_supply.servers_one_behind +=
            is_healthy && version == model_supply.newest_version - 1 ? 1 : 0;
        if (version < model_supply.newest_version && can_receive) {
            model_supply.candidates.push_back(
                {is_healthy, version == model_supply.newest_version - 1,
                 row.in_flight, free, &id});
        }
    }
}

weight_rollout::supply
weight_rollout::make_supply(const std::string& model) const {
    supply result;
    const auto state = models_.find(model);
    if (state != models_.end()) {
        result.newest_version = state->second.newest_version;
        if (clock_.now() - state->second.announced_at < stable_version_ms) {
            result.wanted_slots = state->second.wanted_slots;
        }
    }
    const auto last_order = last_order_numbers_.find(model);
    result.last_order_number =
        last_order == last_order_numbers_.end() ? 0 : last_order->second;
    return result;
}

std::map<std::string, weight_rollout::supply>
weight_rollout::compute_supplies(const sampler_table& table) const {
    std::map<std::string, supply> supplies;
    const auto now = clock_.now();
    run_placement placement(table, now);
    for (const auto& service : table.services()) {
        for (const auto* candidate : table.run_candidates(service)) {
            const auto& [id, row] = *candidate;
            if (!row.registered.versions.empty()) {
                const bool is_healthy =
                    now >= row.blocked_until &&
                    placement.slow_servers(service).count(id) == 0;
                add_server(supplies, id, row, is_healthy);
            }
        }
    }
    for (auto& [model, model_supply] : supplies) {
        std::sort(model_supply.candidates.begin(),
                  model_supply.candidates.end(),
                  [](const auto& a, const auto& b) {
                      return std::tie(b.is_healthy, a.serves_current_step,
                                      a.in_flight, *a.sampler) >
                             std::tie(a.is_healthy, b.serves_current_step,
                                      b.in_flight, *b.sampler);
                  });
    }
    return supplies;
}

/// Takes the best candidate of the model with the worst supply. Returns an
/// order without a model if there is none. Trainers announce more versions than
/// the servers can load. If models were ordered by version number, the trainer
/// that is furthest behind would take all loads while the steps of others wait
/// for weights.
load_order
weight_rollout::take_next_order(std::map<std::string, supply>& supplies,
                                bool rank_by_supply, bool skip_sufficient) {
    const auto may_take = [skip_sufficient](const supply& s) {
        return !s.candidates.empty() && !(skip_sufficient && s.is_sufficient());
    };
    const auto rank = [rank_by_supply](const supply& s) {
        return std::make_pair(rank_by_supply ? s.steps_served() : 0,
                              s.last_order_number);
    };
    auto worst = supplies.end();
    for (auto entry = supplies.begin(); entry != supplies.end(); ++entry) {
        if (may_take(entry->second) &&
            (worst == supplies.end() ||
             rank(entry->second) < rank(worst->second))) {
            worst = entry;
        }
    }
    if (worst == supplies.end()) {
        return {};
    }
    auto& worst_supply = worst->second;
    const auto best = worst_supply.candidates.back();
    worst_supply.candidates.pop_back();
    worst_supply.last_order_number = ++order_count_;
    last_order_numbers_[worst->first] = worst_supply.last_order_number;
    worst_supply.servers_with_newest += best.is_healthy ? 1 : 0;
    worst_supply.free_slots += best.is_healthy ? best.free_slots : 0;
    worst_supply.servers_one_behind -=
        best.is_healthy && best.serves_current_step ? 1 : 0;
    return {*best.sampler, worst->first, worst_supply.newest_version};
}

std::vector<load_order>
weight_rollout::take_due_orders(const sampler_table& table) {
    remove_stale_loads(table);
    const auto server_count = count_loadable_servers(table);
    std::vector<load_order> orders;
    if (!may_start_load(server_count)) {
        return orders;
    }
    auto supplies = compute_supplies(table);
    const bool rank_by_supply = table.is_enabled(base::feature::load_by_need);
    const bool skip_sufficient =
        table.is_enabled(base::feature::load_where_needed);
    while (may_start_load(server_count)) {
        const auto order =
            take_next_order(supplies, rank_by_supply, skip_sufficient);
        if (order.model.empty()) {
            break;
        }
        if (!is_loading(order.sampler)) {
            start_load(order);
            orders.push_back(order);
        }
    }
    return orders;
}

std::vector<sampler_id> weight_rollout::take_due_checks() {
    const auto now = clock_.now();
    std::vector<sampler_id> servers;
    for (auto& [id, load] : loads_) {
        if (now >= load.next_check_at) {
            load.next_check_at = now + check_interval_ms;
            load.last_seen_loading_at = std::exchange(load.last_check_at, now);
            servers.push_back(id);
        }
    }
    return servers;
}

void weight_rollout::start_load(const load_order& order) {
    const auto now = clock_.now();
    auto& load = loads_[order.sampler];
    load.started_at = now;
    load.next_check_at = now + first_check_ms();
    load.last_check_at = now;
    load.last_seen_loading_at = now;
    load.model = order.model;
    load.version = order.version;
}

void weight_rollout::on_order_accepted(const load_order& order) {
    start_load(order);
}

void weight_rollout::on_server_busy(const sampler_id& id) {
    const auto now = clock_.now();
    const auto load = loads_.find(id);
    if (load == loads_.end()) {
        loads_[id] = {now, now + check_interval_ms, now, now, {}, 0};
    } else {
        load->second.next_check_at = now + check_interval_ms;
    }
}

void weight_rollout::on_order_rejected(const load_order& order) {
    loads_.erase(order.sampler);
    retry_at_[order.sampler] = clock_.now() + order_retry_ms;
}

void weight_rollout::on_load_done(
    const sampler_id& id, const std::map<std::string, std::int64_t>& versions) {
    const auto load = loads_.find(id);
    if (load == loads_.end()) {
        return;
    }
    // A server that restarted meanwhile did not load anything and says nothing
    // about the duration of loads. Neither does a server that could not be
    // checked for long, such as while the store is unreachable: its load may
    // have ended at any time.
    const auto now = clock_.now();
    const auto served = versions.find(load->second.model);
    const bool was_loaded =
        served != versions.end() && served->second >= load->second.version;
    const auto max_gap_ms =
        std::max(max_check_gap_ms, load_time_.expected_ms());
    if (was_loaded && now - load->second.last_seen_loading_at <= max_gap_ms) {
        load_time_.add_sample(now - load->second.started_at);
    }
    loads_.erase(load);
}

void weight_rollout::on_load_not_needed(const sampler_id& id) {
    loads_.erase(id);
}

void weight_rollout::reset() {
    loads_.clear();
    retry_at_.clear();
}

} // namespace hibiscus::samplers
