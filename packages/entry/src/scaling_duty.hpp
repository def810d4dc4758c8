#pragma once

#include "duty_channel.hpp"
#include "job_owner.hpp"
#include "node_state.hpp"

#include "hibiscus/duties/autoscaler.hpp"
#include "hibiscus/duties/usage_reporter.hpp"
#include "hibiscus/store/partition_watcher.hpp"

#include <map>
#include <optional>
#include <vector>

namespace hibiscus::entry {

/// Orders backend servers while this node is the job owner. An order is stored
/// in the journal before it is sent, so that a later holder keeps to it.
class scaling_duty {
public:
    scaling_duty(node_state& state, job_owner& owner,
                 transport::upstream_client& client,
                 store::run_after_function run_after);

    /// Starts the periodic tick if autoscaling is among the duties.
    void start();

    /// Applies a change of the journal. Returns false if it does not concern
    /// this duty.
    bool apply(const store::change& change);

private:
    /// The last order for a subject.
    struct order_state {
        int target = 0;
        /// When to send the order again; not set once it is confirmed.
        std::optional<base::millis> send_at;
        /// The last target that was accepted in this turn.
        int accepted_target = 0;
    };

    /// An order that was refused.
    struct refusal {
        duties::scaling_subject subject;
        int refused_target = 0;
    };

    void tick();
    std::vector<duties::service_load> observe_loads() const;
    void decide();
    void store_orders(const std::vector<duties::scaling_order>& orders);
    void report_demand(const std::vector<duties::service_load>& loads);
    void report_limits(const std::vector<duties::service_load>& loads);
    void settle_refusal();
    void on_refusal_settled(const refusal& refused, int target);
    int available_target(const duties::scaling_subject& subject) const;
    void send_due_order();
    void on_response(const duties::scaling_subject& subject, int target,
                     duties::fencing_token token, int status);

    node_state& state_;
    job_owner& owner_;
    duty_channel channel_;
    store::run_after_function run_after_;
    duties::autoscaler autoscaler_;
    std::map<duties::scaling_subject, order_state> orders_;
    /// Orders that are decided but not stored yet.
    std::vector<duties::scaling_order> unstored_orders_;
    /// Set until the journal shows whether this node was still the holder when
    /// the order was refused. No calls are made until then.
    std::optional<refusal> refusal_;
    /// The last reported limit of each service.
    std::map<std::string, duties::scaling_limit> limits_;
    base::millis next_decision_at_ = 0;
    base::millis next_demand_log_at_ = 0;
    bool storing_ = false;
    bool call_in_flight_ = false;
};

} // namespace hibiscus::entry
