#include "hibiscus/duties/autoscaler.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

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

std::optional<int> autoscaler::wanted(const scaling_subject& subject) const {
    const auto row = wanted_.find(subject);
    return row == wanted_.end() ? std::nullopt : std::optional(row->second);
}

void autoscaler::begin_turn() {
    follow_up_.reset();
    short_since_.clear();
    services_.clear();
}

std::optional<scaling_order>
autoscaler::next_order(const std::vector<service_load>& loads,
                       base::millis now) {
    if (follow_up_) {
        return std::exchange(follow_up_, std::nullopt);
    }
    for (const auto& load : loads) {
        observe_zones(load, now);
        auto order = replace_lost(load, now);
        if (!order) {
            order = follow_load(load, now);
        }
        if (order) {
            return accept(*order, now);
        }
    }
    return std::nullopt;
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
std::optional<scaling_order> autoscaler::replace_lost(const service_load& load,
                                                      base::millis now) {
    for (const auto& [zone, observed] : load.zones) {
        const scaling_subject subject{load.service, zone};
        const auto since = short_since_[subject];
        if (since == 0 || now - since < load.limits.boot_ms + times_.lost_ms) {
            continue;
        }
        const int missing = wanted_[subject] - observed.servers;
        auto order =
            change_servers(load, missing, scaling_reason::lost_servers, zone);
        if (order) {
            // The zone is not expected to get these servers back. If its target
            // stood, a later holder would replace them once more.
            wanted_[subject] = observed.servers;
            if (ordered_.count(subject) != 0) {
                follow_up_ = scaling_order{subject, observed.servers,
                                           scaling_reason::lost_servers};
            }
            short_since_[subject] = 0;
            return order;
        }
    }
    return std::nullopt;
}

std::optional<scaling_order> autoscaler::follow_load(const service_load& load,
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
    if (may_order && busy_ms >= times_.busy_ms) {
        return change_servers(load, step_of(load), scaling_reason::busy);
    }
    if (may_order && idle_ms >= times_.idle_ms) {
        return change_servers(load, -step_of(load), scaling_reason::idle);
    }
    return std::nullopt;
}

/// Adds `change` servers in the cheapest zone that has room for one at least,
/// or removes them in the most expensive one if `change` is negative.
std::optional<scaling_order>
autoscaler::change_servers(const service_load& load, int change,
                           scaling_reason reason,
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
        const bool has_effect = change > 0 ? target > before : target < before;
        if (row.first == avoided_zone || !has_effect ||
            (best && cost >= best_cost)) {
            continue;
        }
        best = scaling_order{subject, target, reason};
        best_cost = cost;
    }
    return best;
}

scaling_order autoscaler::accept(const scaling_order& order, base::millis now) {
    auto& state = services_[order.subject.service];
    state.last_order_at = now;
    state.busy_since = 0;
    state.idle_since = 0;
    return order;
}

} // namespace hibiscus::duties
