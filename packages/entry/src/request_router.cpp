#include "request_router.hpp"

#include "hibiscus/base/result.hpp"
#include "memory_bounds.hpp"
#include "platform/sampler_calls.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::entry {

namespace {

/// Retry-after time for callers of a node whose configuration is missing or too
/// old to decide, in ms.
constexpr base::millis configuration_retry_after_ms = 300;

/// Retry-after time for callers of a node that stops, in ms. Other nodes serve
/// them at once.
constexpr base::millis stopping_retry_after_ms = 0;

/// Timeout of requests without a deadline, in ms.
constexpr base::millis default_deadline_ms = 10000;

std::string name_of(const gateway::workspace* holder) {
    return holder == nullptr ? std::string() : holder->name;
}

} // namespace

request_router::request_router(node_state& state, forwarder& request_forwarder,
                               batch_api& jobs,
                               std::function<base::millis()> configuration_age)
    : state_(state), forwarder_(request_forwarder), batch_api_(jobs),
      configuration_age_(std::move(configuration_age)) {}

void request_router::handle(
    transport::inbound_request request,
    std::shared_ptr<transport::response_writer> response) {
    std::visit(base::overloaded{
                   [&](const adapter::results_request& c) {
                       if (auto access =
                               authorize_job_call(request, c.job, *response)) {
                           batch_api_.read_results(c, std::move(*access),
                                                   std::move(response));
                       }
                   },
                   [&](const adapter::item_body_request& c) {
                       if (auto access =
                               authorize_job_call(request, c.job, *response)) {
                           batch_api_.read_item_body(c, std::move(*access),
                                                     std::move(response));
                       }
                   },
                   [&](const adapter::end_job_request& c) {
                       if (auto access =
                               authorize_job_call(request, c.job, *response)) {
                           batch_api_.end_job(c, std::move(*access),
                                              std::move(response));
                       }
                   },
                   [&](const adapter::routed_request& c) {
                       handle_routed(c, std::move(request),
                                     std::move(response));
                   }},
               adapter::parse_client_request(request));
}

gateway::access_limits request_router::access_limits() const {
    const auto& settings = state_.settings;
    return {settings.configuration_deadline_ms,
            settings.strict_revocation ? settings.revocation_deadline_ms : 0};
}

gateway::access_decision
request_router::decide_access(bool is_public,
                              const transport::headers& fields) const {
    return gateway::decide_access(*state_.configuration, is_public,
                                  adapter::parse_credential(fields),
                                  configuration_age_(), access_limits());
}

std::optional<batch::job_access>
request_router::authorize_job_call(const transport::inbound_request& request,
                                   const batch::job_id& job,
                                   transport::response_writer& response) {
    const auto* host = transport::find_header(request.fields, "Host");
    const auto host_name = host == nullptr ? std::string() : *host;
    if (!state_.configuration) {
        reject(job.str(), host_name, "no_configuration", response,
               adapter::not_run_response(configuration_retry_after_ms));
        return std::nullopt;
    }
    if (!state_.configuration->workspaces) {
        return batch::job_access{};
    }
    const auto decision = decide_access(false, request.fields);
    if (decision.outcome == gateway::access_outcome::granted) {
        return batch::job_access{name_of(decision.holder)};
    }
    const auto* row = state_.jobs.find(job);
    if (row != nullptr && row->header->workspace.empty()) {
        return batch::job_access{std::string()};
    }
    reject(job.str(), host_name, decision, response);
    return std::nullopt;
}

void request_router::handle_routed(
    const adapter::routed_request& call, transport::inbound_request request,
    std::shared_ptr<transport::response_writer> response) {
    if (!state_.configuration) {
        // Without a configuration the node can't tell which routes and keys do
        // not exist.
        reject(call.id, call.host, "no_configuration", *response,
               adapter::not_run_response(configuration_retry_after_ms));
        return;
    }
    const auto* route =
        gateway::find_route(*state_.configuration, call.host, request.target);
    if (route == nullptr) {
        const bool may_exist =
            configuration_age_() > access_limits().max_age_to_deny;
        reject(call.id, call.host,
               may_exist ? "no_route_in_old_view" : "no_route", *response,
               may_exist
                   ? adapter::not_run_response(configuration_retry_after_ms)
                   : adapter::status_response(404));
        return;
    }
    const auto decision = decide_access(route->is_public, request.fields);
    if (decision.outcome != gateway::access_outcome::granted) {
        reject(call.id, call.host, decision, *response);
        return;
    }
    if (route->kind == gateway::route_kind::batch) {
        submit_job(call, decision.holder, std::move(request),
                   std::move(response));
        return;
    }
    auto forwarded =
        make_forward_request(call, *route, decision.holder, std::move(request));
    if (state_.stopping && !state_.make_shutdown_schedule().accepts(
                               state_.clock.now(), forwarded.deadline)) {
        reject(call.id, call.host, "stopping", *response,
               adapter::not_run_response(stopping_retry_after_ms));
        return;
    }
    forwarder_.forward_to_caller(std::move(forwarded), std::move(response));
}

void request_router::reject(const std::string& id, const std::string& host,
                            std::string_view reason,
                            transport::response_writer& response,
                            transport::outbound_response rejection) {
    state_.log.write(
        "refused",
        {{"id", id},
         {"host", host},
         {"configuration",
          state_.configuration ? state_.configuration->version : 0},
         {"age_ms", state_.configuration ? configuration_age_() : -1},
         {"status", rejection.status},
         {"reason", reason}});
    state_.counters.count_response("request", "refused", std::string(reason));
    response.send(std::move(rejection));
}

void request_router::reject(const std::string& id, const std::string& host,
                            const gateway::access_decision& decision,
                            transport::response_writer& response) {
    const bool is_denied =
        decision.outcome == gateway::access_outcome::unauthorized;
    reject(id, host, base::name_of(decision.reason), response,
           is_denied ? adapter::unauthorized_response()
                     : adapter::not_run_response(configuration_retry_after_ms));
}

void request_router::submit_job(
    const adapter::routed_request& call, const gateway::workspace* holder,
    transport::inbound_request request,
    std::shared_ptr<transport::response_writer> response) {
    auto decoded = adapter::decode_job(
        request, call,
        make_buffer_limits(state_.settings.memory_mb).request_bytes);
    // The job may be as large again.
    request.body = {};
    auto* job = base::value_if(decoded);
    if (job == nullptr) {
        const auto fault = std::get<adapter::job_fault>(decoded);
        const bool is_too_large = fault == adapter::job_fault::too_large;
        reject(call.id, call.host, base::name_of(fault), *response,
               adapter::status_response(is_too_large ? 413 : 400));
        return;
    }
    job->header.workspace = name_of(holder);
    const auto* known = state_.jobs.find(job->header.id);
    if (known != nullptr && known->header->workspace != job->header.workspace) {
        reject(call.id, call.host, "job_of_other_workspace", *response,
               adapter::status_response(409));
        return;
    }
    batch_api_.submit(std::move(*job), call.deadline_ms, std::move(response));
}

forward_request request_router::make_forward_request(
    const adapter::routed_request& call, const gateway::route& route,
    const gateway::workspace* holder, transport::inbound_request request) {
    forward_request f;
    f.id = call.id;
    f.kind = "request";
    f.http_request.method = std::move(request.method);
    f.http_request.target = std::move(request.target);
    f.http_request.body = std::move(request.body);
    f.http_request.fields.push_back({"Host", call.host});
    for (auto& field : request.fields) {
        if (!transport::is_hop_by_hop(field.name)) {
            f.http_request.fields.push_back(std::move(field));
        }
    }
    if (state_.configuration->workspaces) {
        adapter::erase_access_headers(f.http_request.fields);
        adapter::set_priority(f.http_request,
                              gateway::effective_priority(route, holder));
    }
    f.workspace = name_of(holder);
    adapter::set_workspace(f.http_request, f.workspace);
    f.service =
        samplers::service_name(choose_service(route, state_.random_fraction()));
    f.route = route.name;
    f.priority = gateway::effective_priority(route, holder);
    f.max_attempts = route.max_attempts;
    f.streaming = route.kind == gateway::route_kind::streaming;
    f.resumable = f.streaming && route.resumable;
    f.retryable = route.kind == gateway::route_kind::idempotent || f.resumable;
    auto timeout_ms =
        call.deadline_ms > 0 ? call.deadline_ms : default_deadline_ms;
    if (route.timeout_ms > 0) {
        timeout_ms = std::min(timeout_ms, route.timeout_ms);
    }
    f.deadline = state_.clock.now() + timeout_ms;
    f.latency_target_ms = route.latency_target_ms;
    return f;
}

} // namespace hibiscus::entry
