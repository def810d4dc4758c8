#include "hibiscus/admission/shares.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscus::admission {

namespace {

/// Time over which the scale of the expected times is observed, in ms.
constexpr double rise_decay_ms = 2000;
constexpr double fall_decay_ms = 8000;

/// Slots that are assumed to serve what is expected, as a part of all.
constexpr double assumed_busy = 0.1;

constexpr double min_scale = 0.3;
constexpr double max_scale = 5;

/// Requests in flight, as a multiple of the slots, that keep all slots in use
/// while few wait, and how far the room changes with the distance to it.
constexpr double full_load = 1.4;
constexpr double min_load = 0.7;
constexpr double queue_gain = 0.5;
constexpr double min_correction = 0.4;
constexpr double max_correction = 1.8;

} // namespace

double water_level(double room, std::vector<weighted_demand> demands) {
    std::sort(demands.begin(), demands.end(), [](const auto& a, const auto& b) {
        return a.slots * b.weight < b.slots * a.weight;
    });
    double weight = 0;
    for (const auto& d : demands) {
        weight += d.weight;
    }
    for (const auto& d : demands) {
        const double level = std::max(0.0, room) / weight;
        if (d.slots > level * d.weight) {
            return level;
        }
        room -= d.slots;
        weight -= d.weight;
    }
    return unlimited;
}

double fleet_room::update(double slots, const std::vector<node_demand>& nodes,
                          base::millis now) {
    double in_flight = 0;
    double served = 0;
    for (const auto& n : nodes) {
        in_flight += n.in_flight;
        served += n.served;
    }
    const double busy = std::min(in_flight, slots);
    const double assumed = assumed_busy * slots;
    const double observed = (served + assumed) / (busy + assumed);
    // Requests in flight show before what they get served.
    const auto decay_ms = observed < scale_ ? fall_decay_ms : rise_decay_ms;
    const double gain =
        1 - std::exp(-static_cast<double>(now - updated_at_) / decay_ms);
    updated_at_ = now;
    scale_ =
        std::clamp(scale_ + gain * (observed - scale_), min_scale, max_scale);
    load_ = slots > 0 ? in_flight / slots : 1;
    // Servers that slow down near full serve more with fewer requests.
    const double target = std::clamp(full_load * scale_, min_load, full_load);
    return slots * scale_ *
           std::clamp(1 - queue_gain * (load_ - target), min_correction,
                      max_correction);
}

share_levels fleet_room::share(double slots,
                               const std::vector<node_demand>& nodes,
                               double reward_share, base::millis now) {
    auto levels = share_room(update(slots, nodes, now), nodes, reward_share);
    levels.load = load_;
    return levels;
}

share_levels share_room(double room, const std::vector<node_demand>& nodes,
                        double reward_share) {
    share_levels levels;
    std::vector<weighted_demand> callers;
    std::vector<weighted_demand> rewards;
    double factors = 0;
    for (const auto& n : nodes) {
        levels.demand.callers += n.slots.callers;
        levels.demand.rewards += n.slots.rewards;
        factors += (n.slots.callers + n.slots.rewards) * n.room_factor;
        callers.push_back({n.slots.callers, n.weight});
        rewards.push_back({n.slots.rewards, 1});
    }
    const double total = levels.demand.callers + levels.demand.rewards;
    levels.room = total > 0 ? room * factors / total : room;
    if (total <= levels.room) {
        return levels;
    }
    const double kept = reward_share * levels.room;
    const double left = levels.room - levels.demand.callers;
    const double reward_room =
        std::min(levels.demand.rewards, std::max(kept, left));
    levels.level.callers =
        water_level(levels.room - reward_room, std::move(callers));
    levels.level.rewards = water_level(reward_room, std::move(rewards));
    return levels;
}

traffic_slots share_of(const node_demand& demand, const share_levels& levels) {
    return {
        std::min(demand.slots.callers, levels.level.callers * demand.weight),
        std::min(demand.slots.rewards, levels.level.rewards)};
}

} // namespace hibiscus::admission
