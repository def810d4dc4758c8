#include "owner.hpp"
#include "owner_limits.hpp"
#include "platform/sampler_calls.hpp"

/// The orders of an owner to load weights.
namespace hibiscus::entry {

namespace {

/// How long an order may take to be answered, in ms.
constexpr base::millis order_ms = 800;

} // namespace

void owner::order_loads() {
    if (!store_heard() || hand_over_.begun() ||
        state_.clock.now() < may_order_at_) {
        return;
    }
    for (const auto& id : rollout_.checks()) {
        ask_report(id, [this, id](const auto& report) {
            if (report && !report->busy) {
                load_done(id, *report);
            }
        });
    }
    for (const auto& [model, places] : work_.places_wanted()) {
        rollout_.want(model, places);
    }
    for (const auto& order : rollout_.due(state_.samplers)) {
        ask_report(order.sampler, [this, order](const auto& report) {
            on_report(order, report);
        });
    }
}

void owner::ask_report(
    const samplers::sampler_id& id,
    std::function<void(const std::optional<adapter::server_report>&)> done) {
    call_server(id, adapter::report_request(),
                [done = std::move(done)](const server_reply& reply) {
                    done(reply.status == 200 ? adapter::read_report(reply.body)
                                             : std::nullopt);
                });
}

void owner::load_done(const samplers::sampler_id& id,
                      const adapter::server_report& report) {
    rollout_.done(id, report.versions);
    state_.samplers.loaded(id);
    for (const auto& [model, version] : report.versions) {
        state_.samplers.saw_version(id, model, version);
    }
}

/// Orders on the condition that the server has accepted as many orders as it
/// reports.
void owner::on_report(const samplers::load_order& order,
                      const std::optional<adapter::server_report>& report) {
    if (!report || !owns() || !store_heard() || hand_over_.begun()) {
        rollout_.not_taken(order);
        state_.log.write("order_waits",
                         {{"server", order.sampler},
                          {"version", order.version},
                          {"reason", report ? "not_holder" : "no_report"}});
        return;
    }
    if (report->busy) {
        rollout_.busy(order.sampler);
        state_.samplers.loading(order.sampler, order.model,
                                rollout_.longest_load_ms());
        state_.log.write("order_waits", {{"server", order.sampler},
                                         {"version", order.version},
                                         {"reason", "busy"}});
        return;
    }
    const auto has = report->versions.find(order.model);
    if (has != report->versions.end() && has->second >= order.version) {
        rollout_.not_needed(order.sampler);
        load_done(order.sampler, *report);
        return;
    }
    send_order(order, report->orders);
}

void owner::send_order(const samplers::load_order& order,
                       std::int64_t after_orders) {
    const auto fence = state_.jobs.owner()->record.fence + 1;
    call_server(order.sampler,
                adapter::order_request(order, state_.config.node.str(), fence,
                                       after_orders),
                [this, order, after_orders, fence](const server_reply& reply) {
                    const auto a = adapter::read_order_answer(reply.status);
                    if (a == adapter::order_answer::accepted) {
                        rollout_.accepted(order);
                        state_.samplers.loading(order.sampler, order.model,
                                                rollout_.longest_load_ms());
                    } else if (a == adapter::order_answer::already_held) {
                        rollout_.not_needed(order.sampler);
                        state_.samplers.saw_version(order.sampler, order.model,
                                                    order.version);
                    } else {
                        rollout_.not_taken(order);
                    }
                    state_.log.write("order",
                                     {{"server", order.sampler},
                                      {"version", order.version},
                                      {"after_orders", after_orders},
                                      {"fence", fence},
                                      {"status", reply.status},
                                      {"how", base::name_of(reply.end)},
                                      {"outcome", base::name_of(a)}});
                });
}

void owner::call_server(const samplers::sampler_id& id,
                        transport::upstream_request request,
                        std::function<void(const server_reply&)> done) {
    auto reply = std::make_shared<server_reply>();
    const auto* row = state_.samplers.find(id);
    if (row == nullptr) {
        done(*reply);
        return;
    }
    transport::call_options options;
    options.connect_ms = connect_ms;
    options.total_ms = order_ms;
    transport::upstream_events events;
    events.head = [reply](const transport::upstream_head& h) {
        reply->status = h.status;
    };
    events.data = [reply](std::string_view piece) { reply->body += piece; };
    events.ended = [reply, done = std::move(done)](transport::call_end end) {
        reply->end = end;
        if (end != transport::call_end::complete &&
            end != transport::call_end::closed) {
            reply->status = 0;
        }
        done(*reply);
    };
    client_.start(row->registered.address, std::move(request), options,
                  std::move(events));
}

} // namespace hibiscus::entry
