#include "service_gateway.hpp"

#include "hibiscus/base/hash.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hibiscus::node {

namespace {

constexpr double retry_budget_reserve = 20.0;
constexpr double default_retry_ratio = 0.1;
constexpr int max_attempts = 3;
constexpr base::millis default_retry_after_ms = 100;
constexpr base::millis expiry_interval_ms = 20;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

} // namespace

/// A request that has no response yet. The mutex of the gateway guards it,
/// except for members that never change.
struct service_gateway::pending_request {
    wire::service_request request;
    response_callback done;
    base::millis deadline = 0;
    int attempt_count = 0;
    int in_flight = 0;
    /// ID of the backend server of the last attempt.
    std::string server_id;
    /// True once an attempt may have reached a backend server.
    bool may_have_run = false;
    bool answered = false;
    bool hedged = false;
    /// True if the retry budget has already been charged for the next attempt.
    bool retry_charged = false;
};

/// One attempt to send a request to a backend server.
struct service_gateway::attempt {
    attempt(boost::asio::io_context& io, pending_ptr pending)
        : pending(std::move(pending)), timer(io) {}

    pending_ptr pending;
    policy::instance_candidate server;
    int number = 0;
    base::millis started_at = 0;
    base::millis hedge_delay = 0;
    bool finished = false;
    std::function<void()> cancel;
    boost::asio::steady_timer timer;
};

service_gateway::service_gateway(base::node_id self,
                                 boost::asio::io_context& io,
                                 net::http_client& http,
                                 const shared_view& shared, event_log& logger,
                                 telemetry::metrics& counters,
                                 base::clock clock)
    : self_(std::move(self)), io_(io), http_(http), shared_(shared),
      logger_(logger), counters_(counters), clock_(std::move(clock)),
      router_(base::stable_hash(self_.str())),
      retry_budget_(default_retry_ratio, retry_budget_reserve) {}

void service_gateway::run(const wire::service_request& request,
                          response_callback done) {
    auto pending = std::make_shared<pending_request>();
    pending->request = request;
    pending->done = std::move(done);
    pending->deadline = clock_.now() + request.deadline_ms;
    const auto view = shared_.get();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (view->revision) {
            retry_budget_.set_ratio(view->revision->content.limit.retry_ratio);
        }
        retry_budget_.deposit();
    }
    start(pending);
}

std::size_t service_gateway::queued_count() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return queued_count_;
}

void service_gateway::start(const pending_ptr& pending) {
    if (clock_.now() >= pending->deadline) {
        fail_request(pending, wire::reason::deadline_passed,
                     default_retry_after_ms);
        return;
    }
    if (const auto attempt = select_server(pending)) {
        dispatch(attempt);
    }
}

/// Returns an attempt that can be sent now. Otherwise queues or fails the
/// request and returns null.
service_gateway::attempt_ptr
service_gateway::select_server(const pending_ptr& pending) {
    const auto view = shared_.get();
    const auto& name = pending->request.service;
    const auto* service =
        view->revision ? view->revision->content.find(name) : nullptr;
    const auto listed = view->services.find(name);
    if (service == nullptr || listed == view->services.end()) {
        fail_request(pending,
                     service == nullptr ? wire::reason::unknown_service
                                        : wire::reason::no_backend,
                     default_retry_after_ms);
        return nullptr;
    }
    admission::admission_decision decision;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto& state = services_[name];
        if (state.queue.empty()) {
            if (auto attempt = select_server_locked(state, pending, *service,
                                                    listed->second)) {
                return attempt;
            }
        }
        const auto now = clock_.now();
        decision = admission::admit(
            {state.queue.size(), state.drain_rate.rate_per_ms(now),
             state.latency.mean(), pending->deadline - now});
        if (decision.admitted) {
            state.queue.push_back(pending);
            ++queued_count_;
            arm_expiry_timer();
        }
    }
    log_choice(*pending, listed->second, decision.admitted ? "queue" : "none",
               "all at their limit, predicted wait " +
                   std::to_string(decision.wait) + " ms");
    if (!decision.admitted) {
        fail_request(pending, wire::reason::overloaded, decision.wait);
    }
    return nullptr;
}

service_gateway::attempt_ptr service_gateway::select_server_locked(
    service_state& state, const pending_ptr& pending,
    const document::service& service,
    const std::vector<policy::instance_candidate>& candidates) {
    const auto now = clock_.now();
    const auto chosen = router_.begin_request(candidates, service.max_in_flight,
                                              pending->server_id, now);
    if (!chosen) {
        return nullptr;
    }
    auto new_attempt = std::make_shared<attempt>(io_, pending);
    new_attempt->server = candidates[*chosen];
    new_attempt->number = ++pending->attempt_count;
    new_attempt->started_at = now;
    new_attempt->hedge_delay = state.latency.timeout();
    pending->server_id = new_attempt->server.id;
    pending->retry_charged = false;
    ++pending->in_flight;
    log_choice(*pending, candidates, new_attempt->server.id,
               new_attempt->number > 1
                   ? "attempt " + std::to_string(new_attempt->number)
                   : "fewest in flight");
    return new_attempt;
}

void service_gateway::dispatch(const attempt_ptr& attempt) {
    const auto& request = attempt->pending->request;
    const auto target = base::parse_endpoint(attempt->server.address);
    net::http_request message;
    message.method = "POST";
    message.target = "/v1/run/" + request.id.str();
    message.body = request.body;
    // A retry uses a new connection: the first attempt may have failed because
    // the network has lost the state of idle connections.
    const bool may_reuse = request.idempotent && attempt->number == 1;
    auto cancel = http_.send(
        target.value_or(base::endpoint{}), std::move(message),
        attempt->pending->deadline - attempt->started_at,
        may_reuse ? net::connection_reuse::allowed
                  : net::connection_reuse::never,
        [self = shared_from_this(), attempt](const net::http_result& r) {
            self->on_http_result(attempt, r);
        });
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!attempt->finished && request.idempotent) {
        attempt->cancel = std::move(cancel);
        arm_hedge_timer(attempt);
    }
}

/// Schedules a check of the attempt for the time when its response is overdue.
/// On a connection that has gone silent no response ever arrives, and the
/// caller would otherwise wait until its deadline.
void service_gateway::arm_hedge_timer(const attempt_ptr& attempt) {
    attempt->timer.expires_after(
        std::chrono::milliseconds(attempt->hedge_delay));
    attempt->timer.async_wait([self = shared_from_this(), attempt](
                                  const boost::system::error_code& error) {
        if (!error) {
            self->on_hedge_timer(attempt);
        }
    });
}

void service_gateway::on_hedge_timer(const attempt_ptr& attempt) {
    const auto& pending = attempt->pending;
    const auto view = shared_.get();
    const auto* service =
        view->revision ? view->revision->content.find(pending->request.service)
                       : nullptr;
    const auto listed = view->services.find(pending->request.service);
    std::function<void()> cancel;
    attempt_ptr hedge;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (attempt->finished || pending->answered || pending->hedged ||
            pending->attempt_count >= max_attempts || service == nullptr ||
            listed == view->services.end() || !retry_budget_.withdraw()) {
            return;
        }
        if (service->hedge) {
            pending->hedged = true;
            auto& state = services_[pending->request.service];
            hedge =
                select_server_locked(state, pending, *service, listed->second);
        } else {
            pending->retry_charged = true;
            cancel = attempt->cancel;
        }
    }
    if (hedge) {
        counters_.count_event("request_hedged");
        dispatch(hedge);
    } else if (cancel) {
        counters_.count_event("request_retried_late");
        cancel();
    }
}

void service_gateway::log_choice(
    const pending_request& pending,
    const std::vector<policy::instance_candidate>& servers,
    const std::string& choice, const std::string& reason) {
    decision record{"route", pending.request.id.str(), {}, choice, reason};
    for (const auto& i : servers) {
        record.candidates.push_back(i.id);
    }
    logger_.write_decision(record);
}

void service_gateway::on_http_result(const attempt_ptr& attempt,
                                     const net::http_result& result) {
    const auto* http_response = std::get_if<net::http_response>(&result);
    const auto& pending = attempt->pending;
    if (http_response == nullptr) {
        record_attempt_end(attempt, policy::attempt_outcome::no_response);
        on_attempt_failed(attempt, std::get<net::http_failure>(result).status);
    } else if (http_response->status == status_unavailable) {
        // A backend server responds with 503 only to a request that it did not
        // start. This holds for the last send only: if the client sent the
        // request twice, the first send may have run.
        record_attempt_end(attempt, policy::attempt_outcome::rejected);
        on_attempt_failed(attempt, http_response->resent
                                       ? net::delivery_status::lost
                                       : net::delivery_status::not_sent);
    } else {
        record_attempt_end(attempt, policy::attempt_outcome::answered);
        wire::service_response response;
        response.id = pending->request.id;
        response.node = self_;
        response.attempt = attempt->number;
        response.body = http_response->body;
        const bool succeeded = http_response->status == status_ok;
        response.result =
            succeeded ? wire::outcome::completed : wire::outcome::unknown;
        response.why =
            succeeded ? wire::reason::none : wire::reason::backend_failed;
        complete_request(pending, std::move(response));
    }
    dispatch_queued(pending->request.service);
}

void service_gateway::record_attempt_end(const attempt_ptr& attempt,
                                         policy::attempt_outcome outcome) {
    const auto now = clock_.now();
    const std::lock_guard<std::mutex> lock(mutex_);
    attempt->finished = true;
    attempt->timer.cancel();
    attempt->cancel = nullptr;
    --attempt->pending->in_flight;
    router_.end_request(attempt->server.id, outcome, now);
    auto& state = services_[attempt->pending->request.service];
    if (outcome == policy::attempt_outcome::answered) {
        state.latency.add_sample(now - attempt->started_at);
        state.drain_rate.record_completion(now);
    }
}

void service_gateway::on_attempt_failed(const attempt_ptr& attempt,
                                        net::delivery_status delivery) {
    const auto& pending = attempt->pending;
    bool retry = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        pending->may_have_run =
            pending->may_have_run || delivery == net::delivery_status::lost;
        if (pending->answered || pending->in_flight > 0) {
            return;
        }
        retry = may_retry(*pending, delivery);
    }
    if (retry) {
        start(pending);
        return;
    }
    fail_request(pending,
                 pending->may_have_run ? wire::reason::connection_lost
                                       : wire::reason::no_backend,
                 default_retry_after_ms);
}

bool service_gateway::may_retry(const pending_request& pending,
                                net::delivery_status delivery) {
    const bool is_safe_to_retry = pending.request.idempotent ||
                                  delivery == net::delivery_status::not_sent;
    if (!is_safe_to_retry || pending.attempt_count >= max_attempts ||
        clock_.now() >= pending.deadline) {
        return false;
    }
    return pending.retry_charged || retry_budget_.withdraw();
}

void service_gateway::fail_request(const pending_ptr& pending, wire::reason why,
                                   base::millis retry_after) {
    const auto& id = pending->request.id;
    complete_request(pending, pending->may_have_run
                                  ? wire::make_unknown_response(id, why, self_)
                                  : wire::make_not_run_response(
                                        id, why, retry_after, self_));
}

void service_gateway::complete_request(const pending_ptr& pending,
                                       wire::service_response response) {
    response_callback done;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (std::exchange(pending->answered, true)) {
            return;
        }
        done = std::move(pending->done);
    }
    done(std::move(response));
}

/// Dispatches requests from the head of the queue while a backend server has
/// capacity.
void service_gateway::dispatch_queued(const base::service_id& name) {
    const auto view = shared_.get();
    const auto* service =
        view->revision ? view->revision->content.find(name) : nullptr;
    const auto listed = view->services.find(name);
    if (service == nullptr || listed == view->services.end()) {
        return;
    }
    std::vector<attempt_ptr> attempts;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto& state = services_[name];
        while (!state.queue.empty()) {
            auto attempt = select_server_locked(state, state.queue.front(),
                                                *service, listed->second);
            if (!attempt) {
                break;
            }
            state.queue.pop_front();
            --queued_count_;
            attempts.push_back(std::move(attempt));
        }
    }
    for (const auto& attempt : attempts) {
        dispatch(attempt);
    }
}

void service_gateway::arm_expiry_timer() {
    if (std::exchange(expiry_timer_armed_, true)) {
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(io_);
    timer->expires_after(std::chrono::milliseconds(expiry_interval_ms));
    timer->async_wait([self = shared_from_this(),
                       timer](const boost::system::error_code& error) {
        if (!error) {
            self->expire_queued();
        }
    });
}

/// Fails the queued requests whose deadline has passed and tries to dispatch
/// the others: a backend server may have been listed or have recovered without
/// a request having ended.
void service_gateway::expire_queued() {
    const auto now = clock_.now();
    std::vector<pending_ptr> expired;
    std::vector<base::service_id> queued_services;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto& [name, state] : services_) {
            const auto first_expired =
                std::stable_partition(state.queue.begin(), state.queue.end(),
                                      [now](const pending_ptr& pending) {
                                          return now < pending->deadline;
                                      });
            expired.insert(expired.end(), first_expired, state.queue.end());
            state.queue.erase(first_expired, state.queue.end());
            if (!state.queue.empty()) {
                queued_services.push_back(name);
            }
        }
        queued_count_ -= expired.size();
        expiry_timer_armed_ = false;
        if (queued_count_ > 0) {
            arm_expiry_timer();
        }
    }
    for (const auto& pending : expired) {
        fail_request(pending, wire::reason::deadline_passed,
                     default_retry_after_ms);
    }
    for (const auto& name : queued_services) {
        dispatch_queued(name);
    }
}

} // namespace hibiscus::node
