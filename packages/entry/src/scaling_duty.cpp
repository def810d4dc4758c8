#include "scaling_duty.hpp"

#include "platform/duty_calls.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace hibiscus::entry {

namespace {

constexpr base::millis tick_interval_ms = 250;
constexpr base::millis decision_interval_ms = 1000;

/// The measured demand is logged this often, in ms.
constexpr base::millis demand_log_interval_ms = 10000;

/// Delay before an order is sent again after a call without success, in ms.
constexpr base::millis retry_delay_ms = 2000;

/// A call without a response may be executed this much later, in ms, also after
/// a newer one for the same subject. The order in force is sent again then.
constexpr base::millis late_execution_ms = 15000;

} // namespace

scaling_duty::scaling_duty(node_state& state, job_owner& owner,
                           transport::upstream_client& client,
                           store::run_after_function run_after)
    : state_(state), owner_(owner),
      channel_(state, owner, client, "autoscaling"),
      run_after_(std::move(run_after)) {}

void scaling_duty::start() {
    if (state_.settings.duties && state_.settings.duties->autoscaling) {
        tick();
    }
}

bool scaling_duty::apply(const store::change& change) {
    const auto subject = duties::parse_scaling_key(change.key);
    if (!subject) {
        return false;
    }
    const auto target =
        change.value ? duties::decode_target(*change.value) : std::nullopt;
    if (!target) {
        state_.log.write("record_skipped",
                         {{"topic", "journal"}, {"key", change.key}});
        return true;
    }
    autoscaler_.on_ordered(*subject, *target);
    auto& order = orders_[*subject];
    order.target = *target;
    order.send_at = state_.clock.now();
    return true;
}

void scaling_duty::tick() {
    if (channel_.update()) {
        autoscaler_.begin_turn();
        unstored_orders_.clear();
        refusal_.reset();
        // The holder before may not have sent its last orders.
        for (auto& row : orders_) {
            row.second.send_at = state_.clock.now();
            row.second.accepted_target = 0;
        }
    }
    if (owner_.fencing_token() && state_.configuration) {
        settle_refusal();
        decide();
        send_due_order();
    }
    run_after_(tick_interval_ms, [this] { tick(); });
}

/// Returns the load of each service that can be scaled. Servers that may be
/// reclaimed are not counted: they are not ordered.
std::vector<duties::service_load> scaling_duty::observe_loads() const {
    std::vector<duties::service_load> loads;
    for (const auto& scaled : state_.configuration->scaled_services) {
        duties::service_load load;
        load.service = scaled.name;
        load.limits = {scaled.min_servers_per_zone, scaled.max_servers_per_zone,
                       scaled.boot_ms, scaled.zone_prices};
        for (const auto& price : scaled.zone_prices) {
            load.zones[price.first] = {};
        }
        const samplers::service_name service(scaled.name);
        load.waiting = owner_.waiting_items(service);
        if (const auto demand = owner_.slot_demand(service)) {
            load.demand = {demand->slots, demand->is_complete};
        }
        for (const auto& row : state_.samplers.rows()) {
            const auto& server = row.second.registered;
            if (server.service != service || server.spot) {
                continue;
            }
            auto& zone = load.zones[server.zone.str()];
            // A server that is unlisted counts: its registration may only be
            // missing because of an outage of the store.
            if (!server.draining) {
                ++zone.servers;
                zone.slots += server.slots;
                zone.busy_slots += row.second.in_flight;
            }
        }
        loads.push_back(std::move(load));
    }
    return loads;
}

void scaling_duty::decide() {
    const auto now = state_.clock.now();
    if (storing_ || refusal_) {
        return;
    }
    if (unstored_orders_.empty() && now >= next_decision_at_) {
        next_decision_at_ = now + decision_interval_ms;
        const auto loads = observe_loads();
        unstored_orders_ = autoscaler_.next_orders(loads, now);
        report_demand(loads);
        report_limits(loads);
    }
    if (!unstored_orders_.empty()) {
        store_orders(unstored_orders_);
    }
}

/// Stores all orders of one decision at once, so that a later holder knows all
/// of them or none.
void scaling_duty::store_orders(
    const std::vector<duties::scaling_order>& orders) {
    std::vector<store::record> records;
    records.reserve(orders.size());
    for (const auto& order : orders) {
        records.push_back({duties::scaling_key(order.subject),
                           duties::encode_target(order.target)});
    }
    storing_ =
        owner_.append_as_owner(std::move(records), [this, orders](bool stored) {
            storing_ = false;
            for (const auto& order : orders) {
                state_.log.write("scaling_order",
                                 {{"service", order.subject.service},
                                  {"zone", order.subject.zone},
                                  {"target", order.target},
                                  {"reason", base::name_of(order.reason)},
                                  {"stored", stored}});
            }
            if (stored) {
                unstored_orders_.clear();
            }
        });
}

void scaling_duty::report_demand(
    const std::vector<duties::service_load>& loads) {
    const auto now = state_.clock.now();
    if (now < next_demand_log_at_) {
        return;
    }
    next_demand_log_at_ = now + demand_log_interval_ms;
    for (const auto& load : loads) {
        if (!load.demand) {
            continue;
        }
        int slots = 0;
        for (const auto& zone : load.zones) {
            slots += zone.second.slots;
        }
        state_.log.write(
            "scaling_demand",
            {{"service", load.service},
             {"needed_slots", static_cast<int>(load.demand->slots)},
             {"slots", slots},
             {"waiting", load.waiting}});
    }
}

/// Writes a line when a service begins or ceases to lack servers that can't be
/// ordered.
void scaling_duty::report_limits(
    const std::vector<duties::service_load>& loads) {
    for (const auto& load : loads) {
        const auto missing = autoscaler_.missing(load.service);
        auto& reported = limits_[load.service];
        if (missing.limit == reported) {
            continue;
        }
        reported = missing.limit;
        const auto limit = std::string(base::name_of(missing.limit));
        state_.log.write("scaling_limit", {{"service", load.service},
                                           {"limit", limit},
                                           {"missing", missing.count}});
        if (missing.limit != duties::scaling_limit::none) {
            state_.counters.count_response("scaling_limit", limit, "");
        }
    }
}

/// A refusal means that a newer holder has called or that the zone has no more
/// servers. Takes the order back in the journal: that succeeds only if no other
/// node has become the holder, and then the zone has refused.
void scaling_duty::settle_refusal() {
    if (!refusal_ || storing_) {
        return;
    }
    const auto refused = *refusal_;
    const int target = available_target(refused.subject);
    storing_ = owner_.append_as_owner(
        {{duties::scaling_key(refused.subject), duties::encode_target(target)}},
        [this, refused, target](bool stored) {
            storing_ = false;
            if (stored && refusal_) {
                on_refusal_settled(refused, target);
            }
        });
}

void scaling_duty::on_refusal_settled(const refusal& refused, int target) {
    refusal_.reset();
    const auto now = state_.clock.now();
    autoscaler_.on_ordered(refused.subject, target);
    autoscaler_.on_refused(refused.subject, now);
    auto& order = orders_[refused.subject];
    order.target = target;
    order.send_at.reset();
    next_decision_at_ = now;
    state_.log.write(
        "scaling_order",
        {{"service", refused.subject.service},
         {"zone", refused.subject.zone},
         {"target", target},
         {"reason", base::name_of(duties::scaling_reason::refused)},
         {"stored", true}});
}

/// Returns the target that a zone is known to fulfil: what it accepted last in
/// this turn, or the servers that are there.
int scaling_duty::available_target(
    const duties::scaling_subject& subject) const {
    int servers = 0;
    for (const auto& load : observe_loads()) {
        const auto zone = load.zones.find(subject.zone);
        if (load.service == subject.service && zone != load.zones.end()) {
            servers = zone->second.servers;
        }
    }
    const auto order = orders_.find(subject);
    return order == orders_.end()
               ? servers
               : std::max(servers, order->second.accepted_target);
}

/// Sends one order that is not confirmed. Only one call is in flight.
void scaling_duty::send_due_order() {
    const auto token = channel_.token_to_call();
    if (!token || call_in_flight_ || refusal_) {
        return;
    }
    const auto now = state_.clock.now();
    for (const auto& [subject, order] : orders_) {
        if (!order.send_at || now < *order.send_at) {
            continue;
        }
        call_in_flight_ = true;
        channel_.call(
            adapter::make_scaling_request({state_.settings.node.str(), *token},
                                          subject, order.target),
            [this, subject = subject, target = order.target, token = *token](
                int status) { on_response(subject, target, token, status); });
        return;
    }
}

void scaling_duty::on_response(const duties::scaling_subject& subject,
                               int target, duties::fencing_token token,
                               int status) {
    call_in_flight_ = false;
    const auto result = adapter::parse_scaling_result(status);
    state_.counters.count_response("scaling_order",
                                   std::string(base::name_of(result)), "");
    state_.log.write("scaling_call", {{"service", subject.service},
                                      {"zone", subject.zone},
                                      {"target", target},
                                      {"token", token},
                                      {"status", status},
                                      {"outcome", base::name_of(result)}});
    auto& order = orders_[subject];
    if (result == duties::duty_result::refused) {
        if (order.target == target) {
            refusal_ = refusal{subject, target};
        }
        return;
    }
    if (result == duties::duty_result::failed) {
        order.send_at = state_.clock.now() +
                        (status == 0 ? late_execution_ms : retry_delay_ms);
        return;
    }
    if (result == duties::duty_result::accepted) {
        order.accepted_target = target;
        autoscaler_.on_accepted(subject);
    }
    if (order.target == target) {
        order.send_at.reset();
    }
}

} // namespace hibiscus::entry
