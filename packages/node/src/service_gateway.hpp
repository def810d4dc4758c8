#pragma once

#include "event_log.hpp"
#include "hibiscus/admission/limits.hpp"
#include "hibiscus/net/http_client.hpp"
#include "hibiscus/telemetry/metrics.hpp"
#include "hibiscus/wire/service.hpp"
#include "shared_view.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace hibiscus::node {

/// Sends requests to the backend servers of services. Thread-safe; the mutex is
/// not held during I/O.
class service_gateway : public std::enable_shared_from_this<service_gateway> {
public:
    /// Receives the response to one request.
    using response_callback = std::function<void(wire::service_response)>;

    /// Constructs a gateway for the node `self`. Its timers run on `io`.
    service_gateway(base::node_id self, boost::asio::io_context& io,
                    net::http_client& http, const shared_view& shared,
                    event_log& logger, telemetry::metrics& counters,
                    base::clock clock);

    /// Sends a request to a backend server of its service and calls `done`
    /// exactly once. Retries are subject to the retry budget. An idempotent
    /// request is retried when an attempt fails or when its response is
    /// overdue. A non-idempotent request is retried only if no byte of the
    /// attempt was sent or the server did not start it. While all servers are
    /// at their limit, the request is queued if it can still be answered before
    /// its deadline.
    void run(const wire::service_request& request, response_callback done);

    /// Returns the number of requests that are queued for a backend server.
    std::size_t queued_count() const;

private:
    struct pending_request;
    struct attempt;
    using pending_ptr = std::shared_ptr<pending_request>;
    using attempt_ptr = std::shared_ptr<attempt>;

    /// State of one service. Each service has its own queue, so that an
    /// overloaded service does not delay requests for other services.
    struct service_state {
        admission::latency_estimate latency;
        admission::throughput_meter drain_rate;
        std::deque<pending_ptr> queue;
    };

    void start(const pending_ptr& pending);
    attempt_ptr select_server(const pending_ptr& pending);
    attempt_ptr select_server_locked(
        service_state& state, const pending_ptr& pending,
        const document::service& service,
        const std::vector<policy::instance_candidate>& candidates);
    void dispatch(const attempt_ptr& attempt);
    void arm_hedge_timer(const attempt_ptr& attempt);
    void on_hedge_timer(const attempt_ptr& attempt);
    void on_http_result(const attempt_ptr& attempt,
                        const net::http_result& result);
    void record_attempt_end(const attempt_ptr& attempt,
                            policy::attempt_outcome outcome);
    void on_attempt_failed(const attempt_ptr& attempt,
                           net::delivery_status delivery);
    bool may_retry(const pending_request& pending,
                   net::delivery_status delivery);
    void fail_request(const pending_ptr& pending, wire::reason why,
                      base::millis retry_after);
    void complete_request(const pending_ptr& pending,
                          wire::service_response response);
    void dispatch_queued(const base::service_id& service);
    void arm_expiry_timer();
    void expire_queued();
    void log_choice(const pending_request& pending,
                    const std::vector<policy::instance_candidate>& servers,
                    const std::string& choice, const std::string& reason);

    base::node_id self_;
    boost::asio::io_context& io_;
    net::http_client& http_;
    const shared_view& shared_;
    event_log& logger_;
    telemetry::metrics& counters_;
    base::clock clock_;
    mutable std::mutex mutex_;
    policy::service_router router_;
    policy::retry_budget retry_budget_;
    std::map<base::service_id, service_state> services_;
    std::size_t queued_count_ = 0;
    bool expiry_timer_armed_ = false;
};

} // namespace hibiscus::node
