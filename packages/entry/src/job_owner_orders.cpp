#include "job_owner.hpp"
#include "job_owner_limits.hpp"
#include "platform/sampler_calls.hpp"

/// Load orders of job_owner: commands to servers to load weights.
namespace hibiscus::entry {

namespace {

/// Timeout of a report request or a load order, in ms.
constexpr base::millis order_timeout_ms = 800;

/// Maximum size of a response to either, in bytes.
constexpr std::uint64_t max_order_response_bytes = 256 * 1024;

} // namespace

void job_owner::order_weight_loads() {
    if (!is_journal_current() || handover_.has_begun() ||
        state_.clock.now() < orders_allowed_at_) {
        return;
    }
    for (const auto& id : rollout_.take_due_checks()) {
        request_server_status(id, [this, id](const auto& report) {
            if (report && !report->busy) {
                on_load_done(id, *report);
            }
        });
    }
    for (const auto& [model, slots] : scheduler_.update_wanted_slots()) {
        rollout_.set_wanted_slots(model, slots);
    }
    for (const auto& order : rollout_.take_due_orders(state_.samplers)) {
        request_server_status(order.sampler, [this, order](const auto& report) {
            on_status_before_order(order, report);
        });
    }
}

void job_owner::request_server_status(
    const samplers::sampler_id& id,
    std::function<void(const std::optional<adapter::server_report>&)> done) {
    call_server(id, adapter::make_report_request(),
                [done = std::move(done)](const server_response& response) {
                    done(response.status == 200
                             ? adapter::parse_report(response.body)
                             : std::nullopt);
                });
}

void job_owner::on_load_done(const samplers::sampler_id& id,
                             const adapter::server_report& report) {
    rollout_.on_load_done(id, report.versions);
    state_.samplers.clear_loading_of(id);
    for (const auto& [model, version] : report.versions) {
        state_.samplers.set_observed_version(id, model, version);
    }
}

/// Sends the order on the condition that the server has accepted as many orders
/// as it reports, so that no other order comes in between.
void job_owner::on_status_before_order(
    const samplers::load_order& order,
    const std::optional<adapter::server_report>& report) {
    if (!report || !is_owner() || !is_journal_current() ||
        handover_.has_begun()) {
        rollout_.on_order_rejected(order);
        state_.log.write("order_waits",
                         {{"server", order.sampler},
                          {"version", order.version},
                          {"reason", report ? "not_holder" : "no_report"}});
        return;
    }
    if (report->busy) {
        rollout_.on_server_busy(order.sampler);
        state_.samplers.set_loading(order.sampler, order.model,
                                    rollout_.load_timeout_ms());
        state_.log.write("order_waits", {{"server", order.sampler},
                                         {"version", order.version},
                                         {"reason", "busy"}});
        return;
    }
    const auto reported = report->versions.find(order.model);
    if (reported != report->versions.end() &&
        reported->second >= order.version) {
        rollout_.on_load_not_needed(order.sampler);
        on_load_done(order.sampler, *report);
        return;
    }
    send_load_order(order, report->accepted_orders);
}

void job_owner::send_load_order(const samplers::load_order& order,
                                std::int64_t after_orders) {
    const auto fencing_token = state_.jobs.owner()->record.fencing_token + 1;
    call_server(
        order.sampler,
        adapter::make_order_request(order, state_.settings.node.str(),
                                    fencing_token, after_orders),
        [this, order, after_orders,
         fencing_token](const server_response& response) {
            const auto result = adapter::parse_order_result(response.status);
            if (result == adapter::order_result::accepted) {
                rollout_.on_order_accepted(order);
                state_.samplers.set_loading(order.sampler, order.model,
                                            rollout_.load_timeout_ms());
            } else if (result == adapter::order_result::already_held) {
                rollout_.on_load_not_needed(order.sampler);
                state_.samplers.set_observed_version(order.sampler, order.model,
                                                     order.version);
            } else {
                rollout_.on_order_rejected(order);
            }
            state_.log.write("order", {{"server", order.sampler},
                                       {"version", order.version},
                                       {"after_orders", after_orders},
                                       {"fence", fencing_token},
                                       {"status", response.status},
                                       {"how", base::name_of(response.outcome)},
                                       {"outcome", base::name_of(result)}});
        });
}

/// Calls a server. With `max_silence_ms`, the call ends once nothing has come
/// from the server for this long.
void job_owner::call_server(const samplers::sampler_id& id,
                            transport::upstream_request request,
                            std::function<void(const server_response&)> done,
                            base::millis max_silence_ms) {
    auto response = std::make_shared<server_response>();
    const auto* row = state_.samplers.find(id);
    if (row == nullptr) {
        done(*response);
        return;
    }
    transport::upstream_call_options options;
    options.connect_timeout_ms = server_connect_timeout_ms;
    options.total_timeout_ms = order_timeout_ms;
    options.idle_timeout_ms = max_silence_ms;
    options.resend_if_stale = request.method == "GET";
    options.max_body_bytes = max_order_response_bytes;
    transport::upstream_callbacks events;
    events.on_head = [response](const transport::response_head& h) {
        response->status = h.status;
    };
    events.on_data = [response](std::string_view data) {
        response->body += data;
    };
    auto call = std::make_shared<std::shared_ptr<transport::upstream_call>>();
    events.on_end = [response, call,
                     done = std::move(done)](transport::call_outcome outcome) {
        response->outcome = outcome;
        response->refused = *call && (*call)->was_refused();
        if (outcome != transport::call_outcome::complete &&
            outcome != transport::call_outcome::closed_without_length) {
            response->status = 0;
        }
        done(*response);
    };
    *call = client_.start(row->registered.address, std::move(request), options,
                          std::move(events));
}

} // namespace hibiscus::entry
