#pragma once

#include "hibiscus/base/clock.hpp"

#include <limits>
#include <vector>

/// Decides how many requests a node sends to a service whose servers can't take
/// all of them. All amounts are in slots: server time per unit of time.
namespace hibiscus::admission {

/// A quantity for the requests of callers and for the reward calls.
struct traffic_slots {
    double callers = 0;
    double rewards = 0;
};

/// What one node wants of a service.
struct node_demand {
    traffic_slots slots;
    /// The part of the listed slots that the node believes to be usable.
    double room_factor = 1;
    /// Number of workspaces whose callers want the service at this node.
    double weight = 1;
    /// Requests of the node in flight, those that wait at servers included.
    double in_flight = 0;
    /// The expected server time of the requests that servers responded to.
    double served = 0;
};

constexpr double unlimited = std::numeric_limits<double>::infinity();

/// How the room of a service is shared between the nodes.
struct share_levels {
    double room = 0;
    traffic_slots demand;
    /// Requests in flight, as a multiple of the slots.
    double load = 0;
    /// The most that a node gets for each unit of its weight; `unlimited` if
    /// all get what they want. Reward calls have no weights.
    traffic_slots level{unlimited, unlimited};

    bool is_short() const {
        return level.callers < unlimited || level.rewards < unlimited;
    }
};

/// A part of a weighted max-min allocation.
struct weighted_demand {
    double slots = 0;
    double weight = 1;
};

/// Returns the level up to which demands are served, for each unit of weight,
/// so that the shares add up to `room`; `unlimited` if all fit.
double water_level(double room, std::vector<weighted_demand> demands);

/// Learns how much expected server time the slots of a service serve. Expected
/// times are wrong if nodes learnt them while requests waited at servers; the
/// slots in use and what they have served show by how much.
class fleet_room {
public:
    /// Updates the estimate with what the nodes report, and shares the room of
    /// `slots` listed slots as share_room() does.
    share_levels share(double slots, const std::vector<node_demand>& nodes,
                       double reward_share, base::millis now);

    /// Updates the estimate with what the nodes report, and returns the room.
    double update(double slots, const std::vector<node_demand>& nodes,
                  base::millis now);

private:
    double scale_ = 1;
    double load_ = 0;
    base::millis updated_at_ = 0;
};

/// Shares `room`, as far as the nodes believe it to be usable. If both kinds of
/// traffic press, reward calls get `reward_share` of the room; each kind gets
/// what the other one leaves.
share_levels share_room(double room, const std::vector<node_demand>& nodes,
                        double reward_share);

/// Returns the share of a node that wants `demand`.
traffic_slots share_of(const node_demand& demand, const share_levels& levels);

} // namespace hibiscus::admission
