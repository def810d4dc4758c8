#include "scaling_duty.hpp"

#include "platform/duty_calls.hpp"

#include <utility>

namespace hibiscus::entry {

namespace {

constexpr base::millis tick_interval_ms = 1000;

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
    orders_[*subject] = {*target, state_.clock.now()};
    return true;
}

void scaling_duty::tick() {
    if (channel_.update()) {
        autoscaler_.begin_turn();
        unstored_order_.reset();
        // The holder before may not have sent its last orders.
        for (auto& row : orders_) {
            row.second.send_at = state_.clock.now();
        }
    }
    if (owner_.fencing_token() && state_.configuration) {
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
    if (storing_) {
        return;
    }
    if (!unstored_order_) {
        unstored_order_ =
            autoscaler_.next_order(observe_loads(), state_.clock.now());
    }
    if (unstored_order_) {
        store_order(*unstored_order_);
    }
}

void scaling_duty::store_order(const duties::scaling_order& order) {
    storing_ = owner_.append_as_owner(
        {{duties::scaling_key(order.subject),
          duties::encode_target(order.target)}},
        [this, order](bool stored) {
            storing_ = false;
            state_.log.write("scaling_order",
                             {{"service", order.subject.service},
                              {"zone", order.subject.zone},
                              {"target", order.target},
                              {"reason", base::name_of(order.reason)},
                              {"stored", stored}});
            if (stored) {
                unstored_order_.reset();
            }
        });
}

/// Sends one order that is not confirmed. Only one call is in flight.
void scaling_duty::send_due_order() {
    const auto token = channel_.token_to_call();
    if (!token || call_in_flight_) {
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
    const auto result = adapter::parse_duty_result(status);
    state_.counters.count_response("scaling_order",
                                   std::string(base::name_of(result)), "");
    state_.log.write("scaling_call", {{"service", subject.service},
                                      {"zone", subject.zone},
                                      {"target", target},
                                      {"token", token},
                                      {"status", status},
                                      {"outcome", base::name_of(result)}});
    auto& order = orders_[subject];
    if (result == duties::duty_result::fenced) {
        channel_.on_fenced(token);
        return;
    }
    if (result == duties::duty_result::failed) {
        order.send_at = state_.clock.now() +
                        (status == 0 ? late_execution_ms : retry_delay_ms);
    } else if (order.target == target) {
        order.send_at.reset();
    }
}

} // namespace hibiscus::entry
