#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/base/ids.hpp"

#include <array>
#include <string>

namespace hibiscus::wire {

/// Whether a request ran.
enum class outcome {
    completed, ///< It ran, and the response is complete.
    not_run,   ///< It did not run and will not; it is safe to retry.
    unknown    ///< It may have run.
};

/// Why a request was not completed.
enum class reason {
    none,
    overloaded,
    not_ready,
    draining,
    deadline_passed,
    no_backend,
    log_unavailable,
    home_unreachable,
    home_moved,
    claim_window_passed,
    unknown_service,
    unknown_trainer,
    unknown_step,
    superseded,
    connection_lost,
    backend_failed,
    outcome_lost,
    invalid_request,
    retry_budget_spent,
    config_unknown
};

/// A caller's request to a service.
struct service_request {
    base::request_id id;
    base::service_id service;
    bool idempotent = true;
    /// The time that the caller will still wait, in ms.
    base::millis deadline_ms = 0;
    /// The wall-clock time at which the caller created the request. A
    /// non-idempotent request older than the claim window is rejected.
    base::millis created_ms = 0;
    std::string body;
};

/// The response to a service_request.
struct service_response {
    base::request_id id;
    outcome result = outcome::unknown;
    reason why = reason::none;
    /// If `result` is not_run, the time to wait before a retry.
    base::millis retry_after_ms = 0;
    std::string body;
    /// The entry instance that called the backend server or rejected the
    /// request.
    base::node_id node;
    /// The number of the attempt that produced the response, from 1; 0 if no
    /// attempt did.
    int attempt = 0;
};

/// Returns the response for a request that did not run.
inline service_response make_not_run_response(const base::request_id& id,
                                              reason why,
                                              base::millis retry_after_ms,
                                              const base::node_id& node) {
    return {id, outcome::not_run, why, retry_after_ms, {}, node, 0};
}

/// Returns the response for a request that may have run.
inline service_response make_unknown_response(const base::request_id& id,
                                              reason why,
                                              const base::node_id& node) {
    return {id, outcome::unknown, why, 0, {}, node, 0};
}

} // namespace hibiscus::wire

namespace hibiscus::base {

template <>
struct enum_names<wire::outcome> {
    static constexpr std::array<enum_name<wire::outcome>, 3> table{{
        {wire::outcome::completed, "completed"},
        {wire::outcome::not_run, "not_run"},
        {wire::outcome::unknown, "unknown"},
    }};
};

template <>
struct enum_names<wire::reason> {
    static constexpr std::array<enum_name<wire::reason>, 20> table{{
        {wire::reason::none, "none"},
        {wire::reason::overloaded, "overloaded"},
        {wire::reason::not_ready, "not_ready"},
        {wire::reason::draining, "draining"},
        {wire::reason::deadline_passed, "deadline_passed"},
        {wire::reason::no_backend, "no_backend"},
        {wire::reason::log_unavailable, "log_unavailable"},
        {wire::reason::home_unreachable, "home_unreachable"},
        {wire::reason::home_moved, "home_moved"},
        {wire::reason::claim_window_passed, "claim_window_passed"},
        {wire::reason::unknown_service, "unknown_service"},
        {wire::reason::unknown_trainer, "unknown_trainer"},
        {wire::reason::unknown_step, "unknown_step"},
        {wire::reason::superseded, "superseded"},
        {wire::reason::connection_lost, "connection_lost"},
        {wire::reason::backend_failed, "backend_failed"},
        {wire::reason::outcome_lost, "outcome_lost"},
        {wire::reason::invalid_request, "invalid_request"},
        {wire::reason::retry_budget_spent, "retry_budget_spent"},
        {wire::reason::config_unknown, "config_unknown"},
    }};
};

} // namespace hibiscus::base
