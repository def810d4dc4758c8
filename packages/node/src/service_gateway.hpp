#pragma once

#include "event_log.hpp"
#include "hibiscus/net/http_client.hpp"
#include "hibiscus/policy/admission.hpp"
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

/// Sends requests to the instances of services. Used by traffic threads;
/// its lock is held only for a choice, never over I/O.
class service_gateway : public std::enable_shared_from_this<service_gateway> {
public:
    /// Takes the answer to one request.
    using done_function = std::function<void(wire::service_response)>;

    /// Constructs a gateway of the node `self`, with its timers on `io`.
    service_gateway(base::node_id self, boost::asio::io_context& io,
                    net::http_client& http, const shared_view& shared,
                    event_log& log, telemetry::metrics& counters,
                    base::clock clock);

    /// Sends a request and calls `done` once. An idempotent one is tried again
    /// within the retry budget, also when an answer takes much longer than
    /// usual; another one is tried again only after an attempt of which no
    /// byte left. When all instances are at their limit it waits, if it can
    /// still be answered in time.
    void run(const wire::service_request& request, done_function done);

    /// Returns the requests that wait for an instance.
    std::size_t queued_count() const;

private:
    struct pending_request;
    struct attempt;
    using pending_ptr = std::shared_ptr<pending_request>;
    using attempt_ptr = std::shared_ptr<attempt>;

    /// What is known of one service, and the requests that wait for it. Each
    /// service has its own queue, so that one that is overloaded does not
    /// delay the others.
    struct service_state {
        policy::latency_estimate latency;
        policy::throughput_meter drain_rate;
        std::deque<pending_ptr> queue;
    };

    void start(const pending_ptr& p);
    attempt_ptr select_instance(const pending_ptr& p);
    attempt_ptr
    select_instance_locked(service_state& state, const pending_ptr& p,
                           const document::service& service,
                           const std::vector<policy::instance_candidate>& from);
    void dispatch(const attempt_ptr& a);
    void arm_hedge_timer(const attempt_ptr& a);
    void on_hedge_timer(const attempt_ptr& a);
    void on_http_result(const attempt_ptr& a, const net::http_result& result);
    void record_attempt_end(const attempt_ptr& a, policy::attempt_outcome how);
    void on_attempt_failed(const attempt_ptr& a, net::delivery_status how);
    bool may_retry(const pending_request& p, net::delivery_status how);
    void fail_request(const pending_ptr& p, wire::reason why,
                      base::millis retry_after);
    void complete_request(const pending_ptr& p, wire::service_response answer);
    void dispatch_queued(const base::service_id& service);
    void arm_expiry_timer();
    void expire_queued();
    void log_choice(const pending_request& p,
                    const std::vector<policy::instance_candidate>& instances,
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
