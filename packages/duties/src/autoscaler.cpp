#include "hibiscus/duties/autoscaler.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace hibiscus::duties {

namespace {

const std::string scaling_key_prefix = "!scale/";

/// Part of the slots that must be busy for a service to count as busy, and that
/// may be busy for it to count as idle. Far apart, so that an order does not
/// lead to the opposite one.
constexpr double busy_share = 0.95;
constexpr double idle_share = 0.3;

/// Part of the servers of a service that one order adds or removes.
constexpr double step_share = 0.1;

/// Part of the wanted servers that the demand must exceed to lead to an order.
constexpr double shortfall_tolerance = 0.05;

/// Servers are removed if they exceed the peak of the demand by this factor,
/// and the second factor is kept. Above 1 + shortfall_tolerance, so that the
/// next order does not add them again.
constexpr double surplus_factor = 1.3;
constexpr double kept_factor = 1.15;

/// Prices of zones are alike up to this factor. Orders are spread over such
/// zones.
constexpr double alike_price_factor = 1.1;

double price_of(const scaling_limits& limits, const std::string& zone) {
    const auto price = limits.zone_prices.find(zone);
    return price == limits.zone_prices.end() ? 1 : price->second;
}

zone_load total_of(const service_load& load) {
    zone_load total;
    for (const auto& row : load.zones) {
        total.servers += row.second.servers;
        total.slots += row.second.slots;
        total.busy_slots += row.second.busy_slots;
    }
    return total;
}

/// Returns how many servers provide the slots that are needed, or nothing if
/// none is there to tell the slots of a server.
std::optional<int> needed_servers(const service_load& load) {
    const auto total = total_of(load);
    if (total.servers == 0 || total.slots == 0) {
        return std::nullopt;
    }
    const double slots = static_cast<double>(total.slots) / total.servers;
    return static_cast<int>(std::ceil(load.demand->slots / slots));
}

int step_of(const service_load& load) {
    return std::max(
        1, static_cast<int>(std::ceil(step_share * total_of(load).servers)));
}

/// Sets `since` to the time from which `condition` holds without a break.
/// Returns for how long that is, in ms.
base::millis track(bool condition, base::millis& since, base::millis now) {
    if (!condition) {
        since = 0;
        return 0;
    }
    since = since == 0 ? now : since;
    return now - since;
}

} // namespace

std::string scaling_key(const scaling_subject& subject) {
    return scaling_key_prefix + subject.service + "/" + subject.zone;
}

std::optional<scaling_subject> parse_scaling_key(const std::string& key) {
    if (key.compare(0, scaling_key_prefix.size(), scaling_key_prefix) != 0) {
        return std::nullopt;
    }
    const auto separator = key.rfind('/');
    if (separator < scaling_key_prefix.size()) {
        return std::nullopt;
    }
    return scaling_subject{key.substr(scaling_key_prefix.size(),
                                      separator - scaling_key_prefix.size()),
                           key.substr(separator + 1)};
}

std::string encode_target(int target) {
    return std::to_string(target);
}

std::optional<int> decode_target(const std::string& bytes) {
    int target = 0;
    const auto* end = bytes.data() + bytes.size();
    const auto read = std::from_chars(bytes.data(), end, target);
    if (read.ec != std::errc() || read.ptr != end || target < 0) {
        return std::nullopt;
    }
    return target;
}

void autoscaler::on_ordered(const scaling_subject& subject, int target) {
    wanted_[subject] = target;
    ordered_.insert(subject);
}

void autoscaler::on_accepted(const scaling_subject& subject) {
    refusals_.erase(subject);
}

void autoscaler::on_refused(const scaling_subject& subject, base::millis now) {
    auto& row = refusals_[subject];
    auto delay = times_.refused_ms;
    for (int n = 0; n < row.count && delay < times_.max_refused_ms; ++n) {
        delay *= 2;
    }
    ++row.count;
    row.until = now + std::min(delay, times_.max_refused_ms);
    // The servers are still needed, and other zones may have them.
    services_[subject.service].last_raise_at = 0;
}

std::optional<int> autoscaler::wanted(const scaling_subject& subject) const {
    const auto row = wanted_.find(subject);
    return row == wanted_.end() ? std::nullopt : std::optional(row->second);
}

missing_servers autoscaler::missing(const std::string& service) const {
    const auto state = services_.find(service);
    return state == services_.end() ? missing_servers() : state->second.missing;
}

void autoscaler::begin_turn() {
    short_since_.clear();
    services_.clear();
    refusals_.clear();
}

autoscaler::scaling_orders
autoscaler::next_orders(const std::vector<service_load>& loads,
                        base::millis now) {
    scaling_orders all;
    for (const auto& load : loads) {
        observe_zones(load, now);
        auto orders = replace_lost(load, now);
        if (orders.empty()) {
            orders =
                load.demand ? follow_demand(load, now) : follow_load(load, now);
        }
        if (!orders.empty()) {
            accept(load.service, now);
            all.insert(all.end(), orders.begin(), orders.end());
        }
    }
    return all;
}

/// Notes what is observed for the first time, and which zones have fewer
/// servers than wanted. More servers than wanted become the wanted number:
/// others may add servers, too.
void autoscaler::observe_zones(const service_load& load, base::millis now) {
    for (const auto& [zone, observed] : load.zones) {
        const scaling_subject subject{load.service, zone};
        auto& wanted = wanted_.emplace(subject, observed.servers).first->second;
        const auto& state = services_[load.service];
        const bool is_settled =
            state.last_order_at == 0 ||
            now - state.last_order_at > load.limits.boot_ms + times_.lost_ms;
        if (is_settled) {
            wanted = std::max(wanted, observed.servers);
        }
        track(observed.servers < wanted, short_since_[subject], now);
    }
}

/// Orders the servers elsewhere that a zone has lost.
autoscaler::scaling_orders autoscaler::replace_lost(const service_load& load,
                                                    base::millis now) {
    for (const auto& [zone, observed] : load.zones) {
        const scaling_subject subject{load.service, zone};
        const auto since = short_since_[subject];
        if (since == 0 || now - since < load.limits.boot_ms + times_.lost_ms) {
            continue;
        }
        const int missing = wanted_[subject] - observed.servers;
        const auto order = change_servers(
            load, missing, scaling_reason::lost_servers, now, zone);
        if (!order) {
            continue;
        }
        scaling_orders orders{*order};
        // The zone is not expected to get these servers back. If its target
        // stood, a later holder would replace them once more.
        wanted_[subject] = observed.servers;
        if (ordered_.count(subject) != 0) {
            orders.push_back(
                {subject, observed.servers, scaling_reason::lost_servers});
        }
        short_since_[subject] = 0;
        return orders;
    }
    return {};
}

/// Orders all servers that the measured demand lacks, at once. Removes servers
/// only after the demand has been lower for long.
autoscaler::scaling_orders autoscaler::follow_demand(const service_load& load,
                                                     base::millis now) {
    auto& state = services_[load.service];
    const auto needed = needed_servers(load);
    const bool is_complete = load.demand->is_complete;
    const auto incomplete_ms = track(!is_complete, state.incomplete_since, now);
    if (!needed || (!is_complete && incomplete_ms < times_.incomplete_ms)) {
        return {};
    }
    const int peak = observe_peak(state, *needed, now);
    const int wanted = wanted_servers(load);
    const int shortfall = *needed - wanted;
    if (shortfall > shortfall_tolerance * wanted) {
        if (state.last_raise_at != 0 &&
            now - state.last_raise_at <=
                load.limits.boot_ms + times_.demand_ms) {
            return {};
        }
        auto orders = add_servers(load, shortfall, now);
        if (!orders.empty()) {
            state.last_raise_at = now;
        }
        return orders;
    }
    state.missing = {};
    const bool is_lasting = is_complete &&
                            now - state.measured_since >= times_.surplus_ms &&
                            now - state.last_order_at >= times_.surplus_ms;
    if (is_lasting && wanted > surplus_factor * peak) {
        const auto kept = static_cast<int>(std::ceil(kept_factor * peak));
        return remove_servers(load, wanted - kept);
    }
    return {};
}

/// Returns the highest number of servers needed within the last surplus_ms.
int autoscaler::observe_peak(service_state& state, int needed,
                             base::millis now) const {
    if (state.measured_since == 0) {
        state.measured_since = now;
    }
    auto& peaks = state.peaks;
    while (!peaks.empty() && peaks.back().second <= needed) {
        peaks.pop_back();
    }
    peaks.emplace_back(now, needed);
    while (now - peaks.front().first > times_.surplus_ms) {
        peaks.pop_front();
    }
    return peaks.front().second;
}

int autoscaler::wanted_servers(const service_load& load) const {
    int total = 0;
    for (const auto& row : load.zones) {
        total += wanted_.at({load.service, row.first});
    }
    return total;
}

/// Adds servers one by one in the cheapest zones with room; of zones with alike
/// prices, in the one with the fewest.
autoscaler::scaling_orders
autoscaler::add_servers(const service_load& load, int count, base::millis now) {
    std::map<std::string, int> targets;
    for (const auto& row : load.zones) {
        const scaling_subject subject{load.service, row.first};
        if (!has_refused(subject, now)) {
            targets[row.first] = wanted_[subject];
        }
    }
    int left = count;
    for (; left > 0; --left) {
        double lowest_price = std::numeric_limits<double>::max();
        for (const auto& [zone, target] : targets) {
            if (target < load.limits.max_servers) {
                lowest_price =
                    std::min(lowest_price, price_of(load.limits, zone));
            }
        }
        auto best = targets.end();
        for (auto row = targets.begin(); row != targets.end(); ++row) {
            const bool is_candidate = row->second < load.limits.max_servers &&
                                      price_of(load.limits, row->first) <=
                                          lowest_price * alike_price_factor;
            if (is_candidate &&
                (best == targets.end() || row->second < best->second)) {
                best = row;
            }
        }
        if (best == targets.end()) {
            break;
        }
        ++best->second;
    }
    services_[load.service].missing = {left, left > 0 ? limit_of(load, now)
                                                      : scaling_limit::none};
    scaling_orders orders;
    for (const auto& [zone, target] : targets) {
        const scaling_subject subject{load.service, zone};
        if (target != wanted_[subject]) {
            orders.push_back({subject, target, scaling_reason::demand});
        }
    }
    return orders;
}

/// Removes servers one by one in the most expensive zones; of zones with alike
/// prices, in the one with the most.
autoscaler::scaling_orders autoscaler::remove_servers(const service_load& load,
                                                      int count) const {
    const int min_servers = std::max(1, load.limits.min_servers);
    std::map<std::string, int> targets;
    for (const auto& row : load.zones) {
        targets[row.first] = wanted_.at({load.service, row.first});
    }
    for (int left = count; left > 0; --left) {
        double highest_price = 0;
        for (const auto& [zone, target] : targets) {
            if (target > min_servers) {
                highest_price =
                    std::max(highest_price, price_of(load.limits, zone));
            }
        }
        auto best = targets.end();
        for (auto row = targets.begin(); row != targets.end(); ++row) {
            const bool is_candidate =
                row->second > min_servers &&
                price_of(load.limits, row->first) * alike_price_factor >=
                    highest_price;
            if (is_candidate &&
                (best == targets.end() || row->second > best->second)) {
                best = row;
            }
        }
        if (best == targets.end()) {
            break;
        }
        --best->second;
    }
    scaling_orders orders;
    for (const auto& [zone, target] : targets) {
        const scaling_subject subject{load.service, zone};
        if (target != wanted_.at(subject)) {
            orders.push_back({subject, target, scaling_reason::surplus});
        }
    }
    return orders;
}

autoscaler::scaling_orders autoscaler::follow_load(const service_load& load,
                                                   base::millis now) {
    auto& state = services_[load.service];
    const auto total = total_of(load);
    const auto busy = busy_share * total.slots;
    const auto idle = idle_share * total.slots;
    const auto busy_ms = track(load.waiting > 0 && total.busy_slots >= busy,
                               state.busy_since, now);
    const auto idle_ms = track(load.waiting == 0 && total.busy_slots <= idle,
                               state.idle_since, now);
    const bool may_order =
        state.last_order_at == 0 ||
        now - state.last_order_at > load.limits.boot_ms + times_.busy_ms;
    state.missing = {};
    std::optional<scaling_order> order;
    if (may_order && busy_ms >= times_.busy_ms) {
        const int step = step_of(load);
        order = change_servers(load, step, scaling_reason::busy, now);
        if (!order) {
            state.missing = {step, limit_of(load, now)};
        }
    } else if (may_order && idle_ms >= times_.idle_ms) {
        order = change_servers(load, -step_of(load), scaling_reason::idle, now);
    }
    return order ? scaling_orders{*order} : scaling_orders{};
}

/// Adds `change` servers in the cheapest zone that has room for one at least,
/// or removes them in the most expensive one if `change` is negative.
std::optional<scaling_order>
autoscaler::change_servers(const service_load& load, int change,
                           scaling_reason reason, base::millis now,
                           const std::string& avoided_zone) {
    std::optional<scaling_order> best;
    double best_cost = 0;
    const int min_servers = std::max(1, load.limits.min_servers);
    for (const auto& row : load.zones) {
        const scaling_subject subject{load.service, row.first};
        const int before = wanted_[subject];
        const int target = std::min(load.limits.max_servers,
                                    std::max(min_servers, before + change));
        const auto price = price_of(load.limits, row.first);
        const auto cost = change > 0 ? price : -price;
        const bool has_effect =
            change > 0 ? target > before && !has_refused(subject, now)
                       : target < before;
        if (row.first == avoided_zone || !has_effect ||
            (best && cost >= best_cost)) {
            continue;
        }
        best = scaling_order{subject, target, reason};
        best_cost = cost;
    }
    return best;
}

bool autoscaler::has_refused(const scaling_subject& subject,
                             base::millis now) const {
    const auto row = refusals_.find(subject);
    return row != refusals_.end() && now < row->second.until;
}

/// Returns why no more servers can be ordered.
scaling_limit autoscaler::limit_of(const service_load& load,
                                   base::millis now) const {
    for (const auto& row : load.zones) {
        const scaling_subject subject{load.service, row.first};
        if (has_refused(subject, now) &&
            wanted_.at(subject) < load.limits.max_servers) {
            return scaling_limit::unavailable;
        }
    }
    return scaling_limit::max_reached;
}

void autoscaler::accept(const std::string& service, base::millis now) {
    auto& state = services_[service];
    state.last_order_at = now;
    state.busy_since = 0;
    state.idle_since = 0;
}

} // namespace hibiscus::duties
