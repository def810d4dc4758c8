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

/// A request between its arrival and its answer. Guarded by the gateway's
/// lock, but for what never changes.
struct service_gateway::pending_request {
    wire::service_request request;
    done_function done;
    base::millis deadline = 0;
    int number = 0;
    int in_flight = 0;
    /// The instance of the last attempt.
    std::string instance;
    /// True once an attempt may have reached a backend server.
    bool may_have_run = false;
    bool answered = false;
    bool hedged = false;
    /// True if the budget has already paid for the next attempt.
    bool retry_paid = false;
};

/// One send of a request.
struct service_gateway::attempt {
    attempt(boost::asio::io_context& io, pending_ptr p)
        : request(std::move(p)), timer(io) {}

    pending_ptr request;
    policy::instance_candidate instance;
    int number = 0;
    base::millis started_at = 0;
    base::millis hedge_after = 0;
    bool finished = false;
    std::function<void()> cancel;
    boost::asio::steady_timer timer;
};

service_gateway::service_gateway(base::node_id self,
                                 boost::asio::io_context& io,
                                 net::http_client& http,
                                 const shared_view& shared, event_log& log,
                                 telemetry::metrics& counters,
                                 base::clock clock)
    : self_(std::move(self)), io_(io), http_(http), shared_(shared),
      logger_(log), counters_(counters), clock_(std::move(clock)),
      router_(base::stable_hash(self_.str())),
      retry_budget_(default_retry_ratio, retry_budget_reserve) {}

void service_gateway::run(const wire::service_request& request,
                          done_function done) {
    auto p = std::make_shared<pending_request>();
    p->request = request;
    p->done = std::move(done);
    p->deadline = clock_.now() + request.deadline_ms;
    const auto view = shared_.get();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (view->config) {
            retry_budget_.set_ratio(view->config->content.limit.retry_ratio);
        }
        retry_budget_.deposit();
    }
    start(p);
}

std::size_t service_gateway::queued_count() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return queued_count_;
}

void service_gateway::start(const pending_ptr& p) {
    if (clock_.now() >= p->deadline) {
        fail_request(p, wire::reason::deadline_passed, default_retry_after_ms);
        return;
    }
    if (const auto a = select_instance(p)) {
        dispatch(a);
    }
}

/// Returns an attempt to make now; or queues the request, or gives it up, and
/// returns null.
service_gateway::attempt_ptr
service_gateway::select_instance(const pending_ptr& p) {
    const auto view = shared_.get();
    const auto& name = p->request.service;
    const auto* service =
        view->config ? view->config->content.find(name) : nullptr;
    const auto listed = view->services.find(name);
    if (service == nullptr || listed == view->services.end()) {
        fail_request(p,
                     service == nullptr ? wire::reason::unknown_service
                                        : wire::reason::no_backend,
                     default_retry_after_ms);
        return nullptr;
    }
    policy::admission_decision verdict;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto& state = services_[name];
        if (state.queue.empty()) {
            if (auto a = select_instance_locked(state, p, *service,
                                                listed->second)) {
                return a;
            }
        }
        const auto now = clock_.now();
        verdict = policy::admit({state.queue.size(),
                                 state.drain_rate.rate_per_ms(now),
                                 state.latency.mean(), p->deadline - now});
        if (verdict.admitted) {
            state.queue.push_back(p);
            ++queued_count_;
            arm_expiry_timer();
        }
    }
    log_choice(*p, listed->second, verdict.admitted ? "queue" : "none",
               "all at their limit, predicted wait " +
                   std::to_string(verdict.wait) + " ms");
    if (!verdict.admitted) {
        fail_request(p, wire::reason::overloaded, verdict.wait);
    }
    return nullptr;
}

service_gateway::attempt_ptr service_gateway::select_instance_locked(
    service_state& state, const pending_ptr& p,
    const document::service& service,
    const std::vector<policy::instance_candidate>& from) {
    const auto now = clock_.now();
    const auto chosen =
        router_.begin_request(from, service.max_in_flight, p->instance, now);
    if (!chosen) {
        return nullptr;
    }
    auto a = std::make_shared<attempt>(io_, p);
    a->instance = from[*chosen];
    a->number = ++p->number;
    a->started_at = now;
    a->hedge_after = state.latency.timeout();
    p->instance = a->instance.id;
    p->retry_paid = false;
    ++p->in_flight;
    log_choice(*p, from, a->instance.id,
               a->number > 1 ? "attempt " + std::to_string(a->number)
                             : "fewest in flight");
    return a;
}

void service_gateway::dispatch(const attempt_ptr& a) {
    const auto& request = a->request->request;
    const auto target = base::parse_endpoint(a->instance.address);
    net::http_request message;
    message.method = "POST";
    message.target = "/v1/run/" + request.id.str();
    message.body = request.body;
    // A second attempt goes out on a new connection: the first may have failed
    // because the network has lost track of those that wait.
    const bool may_reuse = request.idempotent && a->number == 1;
    auto cancel =
        http_.send(target.value_or(base::endpoint{}), std::move(message),
                   a->request->deadline - a->started_at,
                   may_reuse ? net::connection_reuse::allowed
                             : net::connection_reuse::never,
                   [self = shared_from_this(), a](const net::http_result& r) {
                       self->on_http_result(a, r);
                   });
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!a->finished && request.idempotent) {
        a->cancel = std::move(cancel);
        arm_hedge_timer(a);
    }
}

/// Looks at the attempt again when an answer should have come. On a silent
/// connection none ever does, and without this the caller would wait until
/// its deadline.
void service_gateway::arm_hedge_timer(const attempt_ptr& a) {
    a->timer.expires_after(std::chrono::milliseconds(a->hedge_after));
    a->timer.async_wait(
        [self = shared_from_this(), a](const boost::system::error_code& error) {
            if (!error) {
                self->on_hedge_timer(a);
            }
        });
}

void service_gateway::on_hedge_timer(const attempt_ptr& a) {
    const auto& p = a->request;
    const auto view = shared_.get();
    const auto* service =
        view->config ? view->config->content.find(p->request.service) : nullptr;
    const auto listed = view->services.find(p->request.service);
    std::function<void()> cancel;
    attempt_ptr second;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (a->finished || p->answered || p->hedged ||
            p->number >= max_attempts || service == nullptr ||
            listed == view->services.end() || !retry_budget_.withdraw()) {
            return;
        }
        if (service->hedge) {
            p->hedged = true;
            auto& state = services_[p->request.service];
            second = select_instance_locked(state, p, *service, listed->second);
        } else {
            p->retry_paid = true;
            cancel = a->cancel;
        }
    }
    if (second) {
        counters_.count_event("request_hedged");
        dispatch(second);
    } else if (cancel) {
        counters_.count_event("request_retried_late");
        cancel();
    }
}

void service_gateway::log_choice(
    const pending_request& p,
    const std::vector<policy::instance_candidate>& instances,
    const std::string& choice, const std::string& reason) {
    decision d{"route", p.request.id.str(), {}, choice, reason};
    for (const auto& i : instances) {
        d.candidates.push_back(i.id);
    }
    logger_.write_decision(d);
}

void service_gateway::on_http_result(const attempt_ptr& a,
                                     const net::http_result& result) {
    const auto* response = std::get_if<net::http_response>(&result);
    const auto& p = a->request;
    if (response == nullptr) {
        record_attempt_end(a, policy::attempt_outcome::no_response);
        on_attempt_failed(a, std::get<net::http_failure>(result).status);
    } else if (response->status == status_unavailable) {
        // A backend server says 503 only for what it did not start. That is
        // true of this send; an earlier one may have run.
        record_attempt_end(a, policy::attempt_outcome::rejected);
        on_attempt_failed(a, response->resent ? net::delivery_status::lost
                                              : net::delivery_status::not_sent);
    } else {
        record_attempt_end(a, policy::attempt_outcome::answered);
        wire::service_response reply;
        reply.id = p->request.id;
        reply.node = self_;
        reply.attempt = a->number;
        reply.body = response->body;
        const bool ok = response->status == status_ok;
        reply.result = ok ? wire::outcome::completed : wire::outcome::unknown;
        reply.why = ok ? wire::reason::none : wire::reason::backend_failed;
        complete_request(p, std::move(reply));
    }
    dispatch_queued(p->request.service);
}

void service_gateway::record_attempt_end(const attempt_ptr& a,
                                         policy::attempt_outcome how) {
    const auto now = clock_.now();
    const std::lock_guard<std::mutex> lock(mutex_);
    a->finished = true;
    a->timer.cancel();
    a->cancel = nullptr;
    --a->request->in_flight;
    router_.end_request(a->instance.id, how, now);
    auto& state = services_[a->request->request.service];
    if (how == policy::attempt_outcome::answered) {
        state.latency.add_sample(now - a->started_at);
        state.drain_rate.record_completion(now);
    }
}

void service_gateway::on_attempt_failed(const attempt_ptr& a,
                                        net::delivery_status how) {
    const auto& p = a->request;
    bool retry = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        p->may_have_run = p->may_have_run || how == net::delivery_status::lost;
        if (p->answered || p->in_flight > 0) {
            return;
        }
        retry = may_retry(*p, how);
    }
    if (retry) {
        start(p);
        return;
    }
    fail_request(p,
                 p->may_have_run ? wire::reason::connection_lost
                                 : wire::reason::no_backend,
                 default_retry_after_ms);
}

bool service_gateway::may_retry(const pending_request& p,
                                net::delivery_status how) {
    const bool repeatable =
        p.request.idempotent || how == net::delivery_status::not_sent;
    if (!repeatable || p.number >= max_attempts || clock_.now() >= p.deadline) {
        return false;
    }
    return p.retry_paid || retry_budget_.withdraw();
}

void service_gateway::fail_request(const pending_ptr& p, wire::reason why,
                                   base::millis retry_after) {
    const auto& id = p->request.id;
    complete_request(
        p, p->may_have_run
               ? wire::make_unknown_response(id, why, self_)
               : wire::make_not_run_response(id, why, retry_after, self_));
}

void service_gateway::complete_request(const pending_ptr& p,
                                       wire::service_response answer) {
    done_function done;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (std::exchange(p->answered, true)) {
            return;
        }
        done = std::move(p->done);
    }
    done(std::move(answer));
}

/// Sends the requests at the head of the queue for which there is room.
void service_gateway::dispatch_queued(const base::service_id& name) {
    const auto view = shared_.get();
    const auto* service =
        view->config ? view->config->content.find(name) : nullptr;
    const auto listed = view->services.find(name);
    if (service == nullptr || listed == view->services.end()) {
        return;
    }
    std::vector<attempt_ptr> ready;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto& state = services_[name];
        while (!state.queue.empty()) {
            auto a = select_instance_locked(state, state.queue.front(),
                                            *service, listed->second);
            if (!a) {
                break;
            }
            state.queue.pop_front();
            --queued_count_;
            ready.push_back(std::move(a));
        }
    }
    for (const auto& a : ready) {
        dispatch(a);
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

/// Answers the waiting requests whose time is over, and tries the others: an
/// instance may have been listed, or have come back, without any request that
/// ended.
void service_gateway::expire_queued() {
    const auto now = clock_.now();
    std::vector<pending_ptr> late;
    std::vector<base::service_id> waiting;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto& [name, state] : services_) {
            const auto first_late = std::stable_partition(
                state.queue.begin(), state.queue.end(),
                [now](const pending_ptr& p) { return now < p->deadline; });
            late.insert(late.end(), first_late, state.queue.end());
            state.queue.erase(first_late, state.queue.end());
            if (!state.queue.empty()) {
                waiting.push_back(name);
            }
        }
        queued_count_ -= late.size();
        expiry_timer_armed_ = false;
        if (queued_count_ > 0) {
            arm_expiry_timer();
        }
    }
    for (const auto& p : late) {
        fail_request(p, wire::reason::deadline_passed, default_retry_after_ms);
    }
    for (const auto& name : waiting) {
        dispatch_queued(name);
    }
}

} // namespace hibiscus::node
