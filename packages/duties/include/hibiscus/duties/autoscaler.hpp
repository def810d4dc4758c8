#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
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

/// The slots that the jobs of a service need to end in time.
struct measured_demand {
    double slots = 0;
    /// False while the demand of some jobs is not known yet.
    bool is_complete = true;
};

/// The load of a service.
struct service_load {
    std::string service;
    scaling_limits limits;
    std::map<std::string, zone_load> zones;
    /// Requests that wait for a slot.
    int waiting = 0;
    /// Empty for a service whose demand is not measured.
    std::optional<measured_demand> demand;
};

enum class scaling_reason {
    /// Servers were lost and did not come back.
    lost_servers,
    /// All slots are busy and requests wait.
    busy,
    /// Most slots have been free for a long time.
    idle,
    /// The measured demand exceeds the servers.
    demand,
    /// The measured demand has been well below the servers for a long time.
    surplus,
    /// The zone had no more servers.
    refused,
};

/// Why a service has fewer servers than it needs.
enum class scaling_limit {
    none,
    /// All zones have as many servers as the operator allows.
    max_reached,
    /// Zones with room have refused orders.
    unavailable,
};

/// Servers that are needed and can't be ordered.
struct missing_servers {
    int count = 0;
    scaling_limit limit = scaling_limit::none;
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
    /// How long after the boot time of an order the demand may lead to the next
    /// one that adds servers.
    base::millis demand_ms = 2000;
    /// For how long an order waits for a demand that is not complete.
    base::millis incomplete_ms = 10000;
    /// For how long the demand must have been lower before servers are removed:
    /// many steps.
    base::millis surplus_ms = 120000;
    /// How long a zone that refused an order gets no more; doubles with each
    /// refusal up to the maximum.
    base::millis refused_ms = 10000;
    base::millis max_refused_ms = 160000;
};

/// Follows the load of the services and decides on orders. The wanted number of
/// servers of a zone is that of its last order, or else what was observed
/// first. If the demand of a service is measured, all servers that it lacks are
/// ordered at once; if not, servers are added or removed in small steps.
class autoscaler {
public:
    using scaling_orders = std::vector<scaling_order>;

    explicit autoscaler(autoscaler_times times = {}) : times_(times) {}

    /// Called for each order in the journal.
    void on_ordered(const scaling_subject& subject, int target);

    /// Called when the receiver accepted or refused an order. A zone that
    /// refuses gets no more orders for a while, so that others get them.
    void on_accepted(const scaling_subject& subject);
    void on_refused(const scaling_subject& subject, base::millis now);

    /// Returns the orders that should be made now, one for a subject at most.
    /// Must be called about once per second while this node is the holder, and
    /// not before the orders of the last call are passed to on_ordered().
    scaling_orders next_orders(const std::vector<service_load>& loads,
                               base::millis now);

    /// Forgets what was observed in an earlier turn.
    void begin_turn();

    /// Returns the wanted number of servers, or nothing if the subject was
    /// never seen.
    std::optional<int> wanted(const scaling_subject& subject) const;

    /// Returns what could not be ordered at the last call of next_orders().
    missing_servers missing(const std::string& service) const;

private:
    struct service_state {
        /// Since when the condition holds; 0 if it does not.
        base::millis busy_since = 0;
        base::millis idle_since = 0;
        base::millis last_order_at = 0;
        /// When an order added servers.
        base::millis last_raise_at = 0;
        /// Since when the demand has not been complete; 0 if it is.
        base::millis incomplete_since = 0;
        /// Since when the demand has been measured.
        base::millis measured_since = 0;
        /// The peaks of the needed servers, each higher than all later ones.
        std::deque<std::pair<base::millis, int>> peaks;
        missing_servers missing;
    };

    struct refusal {
        base::millis until = 0;
        int count = 0;
    };

    void observe_zones(const service_load& load, base::millis now);
    scaling_orders replace_lost(const service_load& load, base::millis now);
    scaling_orders follow_demand(const service_load& load, base::millis now);
    scaling_orders follow_load(const service_load& load, base::millis now);
    int observe_peak(service_state& state, int needed, base::millis now) const;
    int wanted_servers(const service_load& load) const;
    scaling_orders add_servers(const service_load& load, int count,
                               base::millis now);
    scaling_orders remove_servers(const service_load& load, int count) const;
    std::optional<scaling_order>
    change_servers(const service_load& load, int change, scaling_reason reason,
                   base::millis now, const std::string& avoided_zone = "");
    bool has_refused(const scaling_subject& subject, base::millis now) const;
    scaling_limit limit_of(const service_load& load, base::millis now) const;
    void accept(const std::string& service, base::millis now);

    autoscaler_times times_;
    std::map<scaling_subject, int> wanted_;
    /// Subjects for which there has been an order.
    std::set<scaling_subject> ordered_;
    std::map<scaling_subject, refusal> refusals_;
    /// Since when a zone has fewer servers than wanted.
    std::map<scaling_subject, base::millis> short_since_;
    std::map<std::string, service_state> services_;
};

} // namespace hibiscus::duties

namespace hibiscus::base {

template <>
struct enum_names<duties::scaling_reason> {
    static constexpr std::array<enum_name<duties::scaling_reason>, 6> table{{
        {duties::scaling_reason::lost_servers, "lost_servers"},
        {duties::scaling_reason::busy, "busy"},
        {duties::scaling_reason::idle, "idle"},
        {duties::scaling_reason::demand, "demand"},
        {duties::scaling_reason::surplus, "surplus"},
        {duties::scaling_reason::refused, "refused"},
    }};
};

template <>
struct enum_names<duties::scaling_limit> {
    static constexpr std::array<enum_name<duties::scaling_limit>, 3> table{{
        {duties::scaling_limit::none, "none"},
        {duties::scaling_limit::max_reached, "max_reached"},
        {duties::scaling_limit::unavailable, "unavailable"},
    }};
};

} // namespace hibiscus::base
