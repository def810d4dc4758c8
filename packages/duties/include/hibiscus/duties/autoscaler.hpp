#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

/// Decides how many backend servers to order.
namespace hibiscus::duties {

/// What one order sets: the number of servers of a service in an availability
/// zone.
struct scaling_subject {
    std::string service;
    std::string zone;

    bool operator<(const scaling_subject& other) const {
        return std::tie(service, zone) < std::tie(other.service, other.zone);
    }
    bool operator==(const scaling_subject& other) const {
        return service == other.service && zone == other.zone;
    }
};

/// Limits of a service, from the operator's configuration.
struct scaling_limits {
    /// Smallest and largest number of servers in each zone.
    int min_servers = 0;
    int max_servers = 0;
    /// Time from an order until its servers are in use, in ms.
    base::millis boot_ms = 0;
    /// Price of a server by zone; a zone that is missing costs 1.
    std::map<std::string, double> zone_prices;
};

/// The servers of a service in one zone, as observed.
struct zone_load {
    /// Servers that are not draining.
    int servers = 0;
    int slots = 0;
    int busy_slots = 0;
};

/// The load of a service.
struct service_load {
    std::string service;
    scaling_limits limits;
    std::map<std::string, zone_load> zones;
    /// Requests that wait for a slot.
    int waiting = 0;
};

enum class scaling_reason {
    /// Servers were lost and did not come back.
    lost_servers,
    /// All slots are busy and requests wait.
    busy,
    /// Most slots have been free for a long time.
    idle,
};

/// An order; it holds until the next one for the same subject.
struct scaling_order {
    scaling_subject subject;
    int target = 0;
    scaling_reason reason = scaling_reason::lost_servers;
};

/// Key of the journal record with the last order for a subject, and its value.
std::string scaling_key(const scaling_subject& subject);
std::optional<scaling_subject> parse_scaling_key(const std::string& key);
std::string encode_target(int target);
std::optional<int> decode_target(const std::string& bytes);

/// Times of the decisions, in ms.
struct autoscaler_times {
    /// How long requests must wait, with all slots busy, before servers are
    /// added. Longer than the rush at the start of a step.
    base::millis busy_ms = 10000;
    /// How long most slots must be free before servers are removed.
    base::millis idle_ms = 300000;
    /// How long servers must be missing, in addition to their boot time, before
    /// they are ordered elsewhere. Restarted servers register again sooner.
    base::millis lost_ms = 10000;
};

/// Follows the load of the services and decides on orders. The wanted number of
/// servers of a zone is that of its last order, or else what was observed
/// first.
class autoscaler {
public:
    explicit autoscaler(autoscaler_times times = {}) : times_(times) {}

    /// Called for each order in the journal.
    void on_ordered(const scaling_subject& subject, int target);

    /// Returns the order that should be made now, or nothing. Must be called
    /// about once per second while this node is the holder.
    std::optional<scaling_order>
    next_order(const std::vector<service_load>& loads, base::millis now);

    /// Forgets what was observed in an earlier turn.
    void begin_turn();

    /// Returns the wanted number of servers, or nothing if the subject was
    /// never seen.
    std::optional<int> wanted(const scaling_subject& subject) const;

private:
    struct service_state {
        /// Since when the condition holds; 0 if it does not.
        base::millis busy_since = 0;
        base::millis idle_since = 0;
        base::millis last_order_at = 0;
    };

    void observe_zones(const service_load& load, base::millis now);
    std::optional<scaling_order> replace_lost(const service_load& load,
                                              base::millis now);
    std::optional<scaling_order> follow_load(const service_load& load,
                                             base::millis now);
    std::optional<scaling_order>
    change_servers(const service_load& load, int change, scaling_reason reason,
                   const std::string& avoided_zone = "");
    scaling_order accept(const scaling_order& order, base::millis now);

    autoscaler_times times_;
    std::map<scaling_subject, int> wanted_;
    /// Subjects for which there has been an order.
    std::set<scaling_subject> ordered_;
    /// An order that belongs to the last one.
    std::optional<scaling_order> follow_up_;
    /// Since when a zone has fewer servers than wanted.
    std::map<scaling_subject, base::millis> short_since_;
    std::map<std::string, service_state> services_;
};

} // namespace hibiscus::duties

namespace hibiscus::base {

template <>
struct enum_names<duties::scaling_reason> {
    static constexpr std::array<enum_name<duties::scaling_reason>, 3> table{{
        {duties::scaling_reason::lost_servers, "lost_servers"},
        {duties::scaling_reason::busy, "busy"},
        {duties::scaling_reason::idle, "idle"},
    }};
};

} // namespace hibiscus::base
