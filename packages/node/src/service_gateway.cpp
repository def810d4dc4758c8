#include "hibiscus/node/service_gateway.hpp"

#include "hibiscus/base/hash.hpp"

namespace hibiscus::node {

namespace {

constexpr double budget_reserve = 20.0;
constexpr double default_ratio = 0.1;
constexpr int most_attempts = 3;
constexpr base::millis refusal = 100;
constexpr int status_ok = 200;
constexpr int status_overloaded = 503;

} // namespace

/// A request between its arrival and its answer.
struct service_gateway::attempt {
    wire::service_request request;
    done_function done;
    base::millis deadline = 0;
    int number = 0;
    std::string instance;
    /// True once an attempt may have reached a backend server.
    bool may_have_run = false;
};

service_gateway::service_gateway(base::node_id self, net::http_client& http,
                                 const shared_view& shared, decision_log& log,
                                 base::clock clock)
    : self_(std::move(self)), http_(http), shared_(shared), log_(log),
      clock_(std::move(clock)), router_(base::stable_hash(self_.str())),
      budget_(default_ratio, budget_reserve) {}

void service_gateway::run(const wire::service_request& request,
                          done_function done) {
    auto a = std::make_shared<attempt>();
    a->request = request;
    a->done = std::move(done);
    a->deadline = clock_.now() + request.deadline_ms;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        budget_.deposit();
    }
    start(a);
}

void service_gateway::start(const std::shared_ptr<attempt>& a) {
    const auto now = clock_.now();
    const auto& id = a->request.id;
    if (now >= a->deadline) {
        a->done(a->may_have_run
                    ? wire::unknown(id, wire::reason::deadline_passed, self_)
                    : wire::not_run(id, wire::reason::deadline_passed, refusal,
                                    self_));
        return;
    }
    const auto view = shared_.get();
    const auto* service =
        view->config ? view->config->content.find(a->request.service) : nullptr;
    const auto listed = view->services.find(a->request.service);
    if (service == nullptr || listed == view->services.end()) {
        const auto why = service == nullptr ? wire::reason::unknown_service
                                            : wire::reason::no_backend;
        a->done(a->may_have_run ? wire::unknown(id, why, self_)
                                : wire::not_run(id, why, refusal, self_));
        return;
    }
    std::optional<std::size_t> chosen;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        chosen = router_.begin(listed->second, service->max_in_flight,
                               a->instance, now);
    }
    if (!chosen) {
        log_choice(*a, listed->second, "none");
        a->done(
            a->may_have_run
                ? wire::unknown(id, wire::reason::overloaded, self_)
                : wire::not_run(id, wire::reason::overloaded, refusal, self_));
        return;
    }
    const auto& instance = listed->second[*chosen];
    ++a->number;
    a->instance = instance.id;
    log_choice(*a, listed->second, instance.id);
    const auto target = base::parse_endpoint(instance.address);
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/run/" + a->request.id.str();
    request.body = a->request.body;
    const auto mode =
        a->request.idempotent ? net::reuse::allowed : net::reuse::never;
    http_.send(target.value_or(base::endpoint{}), std::move(request),
               a->deadline - now, mode,
               [self = shared_from_this(), a](const net::http_result& result) {
                   self->finished(a, result);
               });
}

void service_gateway::log_choice(
    const attempt& a, const std::vector<policy::instance_choice>& instances,
    const std::string& choice) {
    decision d{"route", a.request.id.str(), {}, choice, "fewest in flight"};
    for (const auto& i : instances) {
        d.candidates.push_back(i.id);
    }
    if (a.number > 1) {
        d.reason = "attempt " + std::to_string(a.number);
    }
    log_.write(d);
}

void service_gateway::finished(const std::shared_ptr<attempt>& a,
                               const net::http_result& result) {
    const auto* response = std::get_if<net::http_response>(&result);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        router_.end(a->instance, response != nullptr, clock_.now());
    }
    if (response == nullptr) {
        failed(a, std::get<net::http_failure>(result).how);
        return;
    }
    a->may_have_run = a->may_have_run || response->repeated;
    if (response->status == status_overloaded) {
        // A backend server says 503 only for what it did not start. That is
        // true of this send; an earlier one may have run.
        failed(a, net::delivery::not_sent);
        return;
    }
    wire::answer answer;
    answer.id = a->request.id;
    answer.node = self_;
    answer.attempt = a->number;
    answer.body = response->body;
    const bool ok = response->status == status_ok;
    answer.result = ok ? wire::outcome::completed : wire::outcome::unknown;
    answer.why = ok ? wire::reason::none : wire::reason::backend_failed;
    a->done(std::move(answer));
}

void service_gateway::failed(const std::shared_ptr<attempt>& a,
                             net::delivery how) {
    a->may_have_run = a->may_have_run || how == net::delivery::lost;
    if (may_retry(*a, how)) {
        start(a);
        return;
    }
    const auto& id = a->request.id;
    a->done(a->may_have_run
                ? wire::unknown(id, wire::reason::connection_lost, self_)
                : wire::not_run(id, wire::reason::no_backend, refusal, self_));
}

bool service_gateway::may_retry(const attempt& a, net::delivery how) {
    const bool repeatable =
        a.request.idempotent || how == net::delivery::not_sent;
    if (!repeatable || a.number >= most_attempts ||
        clock_.now() >= a.deadline) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    return budget_.withdraw();
}

} // namespace hibiscus::node
