#pragma once

#include "hibiscus/admission/estimates.hpp"
#include "hibiscus/admission/limits.hpp"
#include "hibiscus/admission/request_queue.hpp"
#include "hibiscus/admission/shares.hpp"
#include "hibiscus/base/enum_names.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hibiscus::admission {

enum class traffic_kind { callers, rewards };

enum class verdict { admitted, queued, rejected };

/// A request that asks to be sent to a service.
struct gate_request {
    std::uint64_t number = 0;
    traffic_kind kind = traffic_kind::callers;
    int priority = 0;
    std::string workspace;
    /// The kind of call, which determines the usual response time.
    std::string route;
    base::millis deadline = 0;
};

struct gate_decision {
    verdict outcome = verdict::admitted;
    /// Time after which a rejected request would be admitted, in ms.
    base::millis retry_after_ms = 0;
};

struct gate_settings {
    /// Number of repeats for each request while there is no room to spare.
    double retry_ratio = 0.1;
};

/// A request that leaves the queue of a gate.
struct released_request {
    std::uint64_t number = 0;
    gate_decision decision;
};

/// Decides at one node which requests go to a service. While there is room for
/// all nodes, everything is admitted.
class service_gate {
public:
    explicit service_gate(const gate_settings& settings)
        : budget_(settings.retry_ratio) {}

    /// Decides about a request that has just arrived.
    gate_decision on_arrival(const gate_request& request, base::millis now);

    /// Returns the queued requests that are now sent or rejected.
    std::vector<released_request> poll(base::millis now);

    /// Returns the time until poll() should be called, in ms; 0 if nothing is
    /// queued.
    base::millis poll_delay(base::millis now);

    /// Removes a queued request whose caller has left.
    void on_cancelled(std::uint64_t number);

    /// Called when a server has rejected a request without running it.
    void on_rejected(const std::string& server, base::millis now);

    /// Called with the response time of a request at a server.
    void on_response(const std::string& server, const std::string& route,
                     base::millis ms, base::millis now);

    /// Called when a request is sent to a server and when it has ended there.
    void on_sent(base::millis now);
    void on_ended(base::millis now);

    /// Returns true if a request may be sent to another server, and counts it.
    /// `cost` is the server time that the attempt before has taken, in usual
    /// response times.
    bool may_repeat(double cost, base::millis now);

    /// Returns true if may_repeat() would.
    bool can_repeat(double cost, base::millis now);

    /// Returns the time after which a rejected request would be admitted, in
    /// ms; 0 if requests are not limited.
    base::millis retry_after_ms(traffic_kind kind, base::millis now);

    /// Returns the usual response time of a kind of call, in ms; 0 if unknown.
    double usual_ms(const std::string& route) const;

    /// Returns what this node wants of the service.
    node_demand demand(base::millis now);

    /// Sets the shares of the nodes as they are now known.
    void set_levels(const share_levels& levels, base::millis now);

    /// Called instead of set_levels() while it isn't known what other nodes
    /// want: this node adapts its last share to what it sees of the servers.
    void adapt_alone(base::millis now);

    bool is_limiting() const { return limiting_; }
    const share_levels& levels() const { return levels_; }
    /// Returns the rates to which the requests of this node are limited.
    traffic_slots rates() const {
        return {lane_of(traffic_kind::callers).bucket.rate(),
                lane_of(traffic_kind::rewards).bucket.rate()};
    }
    std::size_t queued() const;

    /// Returns true if nothing was sent to the service for some time.
    bool is_idle(base::millis now) const;

private:
    /// The traffic of one kind.
    struct lane {
        decaying_sum demand;
        decaying_sum arrivals;
        base::millis last_arrival_at = 0;
        decaying_sum admitted;
        share_bucket bucket;
        request_queue queue;
    };

    struct route_state {
        usual_time usual;
        /// Response times as they are, waits at servers included.
        latency_estimate latency;
    };

    struct workspace_state {
        decaying_sum admitted;
        base::millis seen_at = 0;
    };

    lane& lane_of(traffic_kind kind) {
        return lanes_[static_cast<std::size_t>(kind)];
    }
    const lane& lane_of(traffic_kind kind) const {
        return lanes_[static_cast<std::size_t>(kind)];
    }
    static double demand_of(const lane& l, base::millis now);
    bool has_room(base::millis now) const;
    double cost_ms(const std::string& route) const;
    double response_ms(const std::string& route) const;
    double active_workspaces(base::millis now);
    void set_rates(const traffic_slots& slots, base::millis now);
    bool try_admit(lane& l, const gate_request& request, double cost,
                   base::millis now);
    bool is_below_share(const lane& l, const std::string& workspace,
                        base::millis now);
    void admit(lane& l, const std::string& workspace, double cost,
               base::millis now);
    std::vector<released_request> take_hopeless(lane& l, base::millis now);
    static base::millis retry_after(lane& l, base::millis now);

    std::array<lane, 2> lanes_;
    decaying_mean in_flight_;
    decaying_sum served_;
    std::map<std::string, route_state> routes_;
    usual_time usual_of_all_;
    /// Number of rejections of each server since its last response.
    std::map<std::string, int> rejections_in_row_;
    std::map<std::string, workspace_state> workspaces_;
    room_estimate room_;
    retry_budget budget_;
    share_levels levels_;
    bool limiting_ = false;
    base::millis adapted_at_ = 0;
    base::millis last_arrival_at_ = 0;
    /// Requests rejected by the arrival of a more urgent one.
    std::vector<released_request> displaced_;
};

} // namespace hibiscus::admission

namespace hibiscus::base {

template <>
struct enum_names<admission::traffic_kind> {
    static constexpr std::array<enum_name<admission::traffic_kind>, 2> table{{
        {admission::traffic_kind::callers, "callers"},
        {admission::traffic_kind::rewards, "rewards"},
    }};
};

} // namespace hibiscus::base
