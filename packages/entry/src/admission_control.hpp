#pragma once

#include "node_state.hpp"

#include "hibiscus/admission/service_gate.hpp"
#include "hibiscus/membership/fleet_membership.hpp"
#include "hibiscus/store/log_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hibiscus::entry {

struct forward_request;

/// What this node knows of the demands of the other nodes.
struct fleet_demand_view {
    /// The demands of the other nodes, or nullptr if they are not known.
    std::function<const std::vector<const membership::service_demands*>*()>
        other_demands;
    /// The shares that another node publishes, or nullptr if there are none.
    std::function<const membership::service_levels*()> published_levels;
    /// Whether this node publishes shares for other nodes.
    std::function<bool()> is_publishing;
};

/// Admits the plain requests of this node to the services: keeps a gate for
/// each service in use, tells the gates the shares of the nodes, and runs the
/// queues.
class admission_control {
public:
    using decision_function = std::function<void(admission::gate_decision)>;

    admission_control(node_state& state, store::run_after_function run_after,
                      fleet_demand_view fleet)
        : state_(state), run_after_(std::move(run_after)),
          fleet_(std::move(fleet)) {}

    /// Starts to update the shares.
    void start();

    /// Asks for the admission of a request. `decided` is called once, possibly
    /// before this function returns, unless the request is cancelled. Returns
    /// the number of the request.
    std::uint64_t request(const forward_request& request,
                          decision_function decided);

    /// Removes a queued request.
    void cancel(const samplers::service_name& service, std::uint64_t number);

    admission::service_gate& gate(const samplers::service_name& service);

    /// Returns what this node wants of the services that it uses.
    membership::service_demands demands();

    /// Returns the shares that this node publishes.
    membership::service_levels published_levels() const;

private:
    struct service_state {
        explicit service_state(const admission::gate_settings& settings)
            : gate(settings) {}

        admission::service_gate gate;
        bool polling = false;
        bool was_short = false;
        int rejected = 0;
        /// What the last log line of the shortage said.
        admission::traffic_slots logged_share;
        base::millis logged_at = 0;
    };

    struct waiting_request {
        std::string id;
        std::string kind;
        std::string workspace;
        decision_function decided;
    };

    service_state& state_of(const samplers::service_name& service);
    admission::share_levels compute_levels(
        const std::string& service,
        const std::vector<const membership::service_demands*>& others,
        base::millis now);
    void update();
    void update_shares(base::millis now);
    void update_service(
        const std::string& service, service_state& s,
        const std::vector<const membership::service_demands*>* others,
        base::millis now);
    void publish_levels(
        const std::vector<const membership::service_demands*>& others,
        base::millis now);
    void log_shortage(const std::string& service, service_state& s,
                      base::millis now);
    void poll(const samplers::service_name& service);
    void poll_later(const samplers::service_name& service, service_state& s);
    void log_rejection(const samplers::service_name& service, service_state& s,
                       const waiting_request& r, base::millis retry_after_ms);

    node_state& state_;
    store::run_after_function run_after_;
    fleet_demand_view fleet_;
    std::map<std::string, std::unique_ptr<service_state>> services_;
    std::map<std::string, admission::fleet_room> rooms_;
    membership::service_levels published_;
    std::map<std::uint64_t, waiting_request> waiting_;
    std::uint64_t last_number_ = 0;
};

} // namespace hibiscus::entry
