#pragma once

#include "forwarder.hpp"

#include "faulty_server.hpp"
#include "hibiscus/gateway/configuration.hpp"
#include "hibiscus/transport/streaming_http_server.hpp"
#include "keep_alive_caller.hpp"
#include "platform/client_api.hpp"

#include <boost/asio/steady_timer.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hibiscus::testing {

constexpr int service_count = 2;
constexpr int servers_per_service = 3;
constexpr int caller_count = 24;
constexpr base::millis plain_deadline_ms = 600;
constexpr base::millis stream_deadline_ms = 1500;
constexpr base::millis max_wait_ms = 60000;

/// A route of the test configuration.
struct test_route {
    const char* prefix = "";
    gateway::route_kind kind = gateway::route_kind::idempotent;
    bool resumable = false;
    int attempts = 1;
};

constexpr test_route idempotent_route{
    "/again/", gateway::route_kind::idempotent, false, 3};
constexpr test_route single_attempt_route{
    "/again-at-one/", gateway::route_kind::idempotent, false, 1};
constexpr test_route non_idempotent_route{
    "/once/", gateway::route_kind::non_idempotent, false, 3};
constexpr test_route streaming_route{"/stream/", gateway::route_kind::streaming,
                                     false, 2};
constexpr test_route resumable_route{"/resumed/",
                                     gateway::route_kind::streaming, true, 3};
constexpr std::array<test_route, 5> test_routes{
    idempotent_route, single_attempt_route, non_idempotent_route,
    streaming_route, resumable_route};

inline std::string make_service_name(int n) {
    return "service-" + std::to_string(n % service_count);
}

/// A file descriptor that discards its output.
class null_output {
public:
    null_output() : descriptor_(::open("/dev/null", O_WRONLY | O_CLOEXEC)) {}
    ~null_output() { ::close(descriptor_); }
    null_output(const null_output&) = delete;
    null_output& operator=(const null_output&) = delete;
    int descriptor() const { return descriptor_; }

private:
    int descriptor_;
};

struct sent_request {
    test_route route;
    std::shared_ptr<request_result> result;
};

/// The response writer of a caller that has already disconnected.
class disconnected_response_writer : public transport::response_writer {
public:
    void send(transport::outbound_response) override {}
    void send_head(int, const transport::headers&) override {}
    void write(std::string_view) override {}
    void finish() override {}
    void abort() override {}
    void on_disconnect(std::function<void()> closed) override { closed(); }
};

/// Connects callers, a server with a forwarder, and faulty servers on one event
/// loop.
class forwarder_harness {
public:
    forwarder_harness() : state_({}, {}, null_.descriptor()) {
        for (int n = 0; n < service_count * servers_per_service; ++n) {
            servers_.push_back(std::make_unique<faulty_server>(
                io_, "server-" + std::to_string(n), observed_));
            put_server(n, false);
        }
        configure(0, 0);
        const auto address = server_.listen({"127.0.0.1", 0});
        for (int n = 0; n < caller_count; ++n) {
            callers_.push_back(
                std::make_unique<keep_alive_caller>(io_, *address));
        }
    }

    /// Applies a new configuration. `a` selects the services of the routes and
    /// the route that is missing, `b` the timeout of the routes.
    void configure(int a, int b) {
        gateway::configuration next;
        next.version = ++version_;
        for (std::size_t n = 0; n < test_routes.size(); ++n) {
            if (a % 11 == static_cast<int>(n) + 1) {
                continue;
            }
            gateway::route route;
            route.host = "h";
            route.path_prefix = test_routes[n].prefix;
            route.kind = test_routes[n].kind;
            route.resumable = test_routes[n].resumable;
            route.max_attempts = test_routes[n].attempts;
            const bool has_timeout =
                route.kind != gateway::route_kind::streaming;
            route.timeout_ms = has_timeout && b % 2 == 1 ? 300 + b % 300 : 0;
            route.services = {{make_service_name(a + static_cast<int>(n)), 1}};
            next.routes.push_back(std::move(route));
        }
        state_.configuration = std::move(next);
    }

    /// Makes a caller send a request. `plan` lists the behavior of the server
    /// at each attempt.
    std::shared_ptr<request_result>
    send_request(const test_route& route, int caller,
                 std::vector<server_behavior> plan, std::size_t body_bytes,
                 std::optional<std::chrono::milliseconds> disconnect_after =
                     std::nullopt) {
        const auto id = "r" + std::to_string(observed_.size());
        auto& s = observed_[id];
        s.streamed = route.kind == gateway::route_kind::streaming;
        s.planned_behaviors = std::move(plan);
        s.body =
            id + std::string(body_bytes,
                             static_cast<char>('a' + observed_.size() % 26));
        queued_request r;
        r.result = std::make_shared<request_result>();
        r.disconnect_after = disconnect_after;
        r.bytes = "POST " + std::string(route.prefix) + id +
                  "?q=1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
                  "\r\nDeadline-Ms: " +
                  std::to_string(s.streamed ? stream_deadline_ms
                                            : plain_deadline_ms) +
                  "\r\nContent-Length: " + std::to_string(s.body.size()) +
                  "\r\n\r\n" + s.body;
        sent_requests_[id] = {route, r.result};
        auto result = r.result;
        callers_[static_cast<std::size_t>(caller) % callers_.size()]->enqueue(
            std::move(r));
        return result;
    }

    /// Forwards a request of a caller that has already disconnected.
    void forward_for_disconnected_caller() {
        entry::forward_request f;
        f.http_request.fields = {{"Host", "h"}, {"Request-Id", "gone"}};
        f.service = samplers::service_name(make_service_name(0));
        f.retryable = true;
        f.deadline = state_.clock.now() + plain_deadline_ms;
        forwarder_->forward_to_caller(
            std::move(f), std::make_shared<disconnected_response_writer>());
    }

    /// Sends a reward call to a service and returns at how many servers it was
    /// lost, once it has ended.
    int count_losses_of_reward_call(int service,
                                    std::vector<server_behavior> plan) {
        const std::string id = "reward";
        observed_[id].planned_behaviors = std::move(plan);
        entry::forward_request f;
        f.id = id;
        f.kind = "reward";
        f.http_request.method = "POST";
        f.http_request.target = "/" + id;
        f.http_request.fields = {{"Host", "h"}, {"Request-Id", id}};
        f.service = samplers::service_name(make_service_name(service));
        f.max_attempts = servers_per_service;
        f.retryable = true;
        f.deadline = state_.clock.now() + plain_deadline_ms;
        int losses = 0;
        f.on_server_lost = [&losses](const auto&) { ++losses; };
        bool has_ended = false;
        const auto call = forwarder_->send(
            std::move(f), [&has_ended](const auto&) { has_ended = true; });
        const base::clock clock;
        const auto deadline = clock.now() + max_wait_ms;
        while (!has_ended && clock.now() < deadline) {
            run_for(std::chrono::milliseconds(1));
        }
        return has_ended ? losses : -1;
    }

    void remove_server(int n) { state_.samplers.remove(sampler_id_at(n)); }

    void put_server(int n, bool draining) {
        const auto& s =
            *servers_[static_cast<std::size_t>(n) % servers_.size()];
        samplers::registration r;
        r.service = samplers::service_name(
            make_service_name(n % (service_count * servers_per_service)));
        r.address = s.address();
        r.zone = base::zone_id("z");
        r.slots = 4;
        r.draining = draining;
        state_.samplers.put(samplers::sampler_id(s.name()), r);
    }

    void run_for(std::chrono::milliseconds time) {
        io_.restart();
        io_.run_for(time);
        io_.restart();
        io_.poll();
    }

    /// Runs until the servers have received `sends` requests. Returns false if
    /// that does not happen in time.
    bool run_until_sends(int sends) {
        const base::clock clock;
        const auto deadline = clock.now() + max_wait_ms;
        while (total_sends() < sends && clock.now() < deadline) {
            run_for(std::chrono::milliseconds(1));
        }
        return total_sends() >= sends;
    }

    /// Admits requests from now on; `other_demands` tells what other nodes
    /// want.
    void start_admission(
        std::function<const std::vector<const membership::service_demands*>*()>
            other_demands) {
        admission_.emplace(
            state_,
            [this](base::millis ms, std::function<void()> callback) {
                run_after(ms, std::move(callback));
            },
            entry::fleet_demand_view{std::move(other_demands),
                                     [] { return nullptr; },
                                     [] { return false; }});
        forwarder_.emplace(state_, client_, nullptr, &*admission_);
        admission_->start();
    }

    std::string metrics() const { return state_.counters.serialize(); }

    int total_sends() const {
        int total = 0;
        for (const auto& [id, s] : observed_) {
            total += s.send_count;
        }
        return total;
    }

    std::size_t request_count() const { return sent_requests_.size(); }

    /// Runs until all callers are done. Returns the first violation, or "".
    std::string finish_and_check() {
        const base::clock clock;
        const auto deadline = clock.now() + max_wait_ms;
        while (has_busy_callers() && clock.now() < deadline) {
            run_for(std::chrono::milliseconds(2));
        }
        if (has_busy_callers()) {
            return "a caller never got a response";
        }
        run_for(std::chrono::milliseconds(30));
        for (const auto& c : callers_) {
            if (c->unsolicited_bytes() > 0) {
                return "received bytes after the last response";
            }
        }
        return check_all();
    }

private:
    void run_after(base::millis ms, std::function<void()> callback) {
        auto timer = std::make_shared<boost::asio::steady_timer>(
            io_, std::chrono::milliseconds(ms));
        timer->async_wait(
            [timer, callback = std::move(callback)](const auto& error) {
                if (!error) {
                    callback();
                }
            });
    }

    samplers::sampler_id sampler_id_at(int n) const {
        return samplers::sampler_id(
            servers_[static_cast<std::size_t>(n) % servers_.size()]->name());
    }

    void on_request(transport::inbound_request request,
                    std::shared_ptr<transport::response_writer> response) {
        const auto parsed = adapter::parse_client_request(request);
        const auto& call = std::get<adapter::routed_request>(parsed);
        const auto* route = gateway::find_route(*state_.configuration,
                                                call.host, request.target);
        if (route == nullptr) {
            response->send(adapter::status_response(404));
            return;
        }
        entry::forward_request f;
        f.id = call.id;
        f.http_request.method = std::move(request.method);
        f.http_request.target = std::move(request.target);
        f.http_request.body = std::move(request.body);
        f.http_request.fields = {{"Host", call.host}, {"Request-Id", call.id}};
        f.service = samplers::service_name(route->services.front().service);
        f.max_attempts = route->max_attempts;
        f.streaming = route->kind == gateway::route_kind::streaming;
        f.resumable = f.streaming && route->resumable;
        f.retryable =
            route->kind == gateway::route_kind::idempotent || f.resumable;
        const auto timeout_ms =
            route->timeout_ms > 0
                ? std::min(call.deadline_ms, route->timeout_ms)
                : call.deadline_ms;
        f.deadline = state_.clock.now() + timeout_ms;
        forwarder_->forward_to_caller(std::move(f), std::move(response));
    }

    bool has_busy_callers() const {
        for (const auto& c : callers_) {
            if (c->is_busy()) {
                return true;
            }
        }
        return false;
    }

    std::string check_all() const {
        for (const auto& [id, s] : observed_) {
            const auto found = sent_requests_.find(id);
            if (found == sent_requests_.end()) {
                return "server received an unknown request: " + s.failure;
            }
            auto violation = check(id, s, found->second);
            if (!violation.empty()) {
                return violation.append(": ").append(
                    describe(s, found->second));
            }
        }
        return "";
    }

    static std::string describe(const observed_request& s,
                                const sent_request& sent) {
        std::string text = sent.route.prefix;
        text += " " + sent.result->error;
        text += " status " + std::to_string(sent.result->status) + ", sends " +
                std::to_string(s.send_count) + ", runs " +
                std::to_string(s.run_count) + ", plan";
        for (const auto behavior : s.planned_behaviors) {
            text += " " + std::to_string(static_cast<int>(behavior));
        }
        return text;
    }

    static std::string check(const std::string& id, const observed_request& s,
                             const sent_request& sent) {
        const auto& r = *sent.result;
        if (!s.failure.empty() || !r.failure.empty()) {
            return s.failure + r.failure;
        }
        const bool retryable =
            sent.route.kind == gateway::route_kind::idempotent ||
            sent.route.resumable;
        if (!retryable && s.run_count > 1) {
            return "non-idempotent request was executed more than once";
        }
        if (s.send_count - s.lost_send_count > sent.route.attempts ||
            static_cast<int>(s.servers_run_at.size()) > sent.route.attempts) {
            return "more attempts than the route allows";
        }
        if (r.disconnected) {
            return "";
        }
        if (!r.head_received) {
            return "connection ended without a response";
        }
        if (r.status == 200) {
            return check_success(id, s, r, sent.route.resumable);
        }
        return check_failure(s, r, retryable);
    }

    static std::string check_success(const std::string& id,
                                     const observed_request& s,
                                     const request_result& r, bool resumable) {
        const auto expected_body =
            s.streamed ? make_events(id) : make_plain_body(id);
        if (r.request_id != id || r.stamp != "of-" + id) {
            return "response belongs to another request";
        }
        if (r.complete) {
            return r.body == expected_body ? "" : "response has a wrong body";
        }
        // Without a length, the end of a stream can't be told from a cut
        // between two events.
        const bool may_look_incomplete =
            resumable &&
            s.last_behavior == server_behavior::responds_without_length;
        if (!s.streamed ||
            (must_complete_stream(s.last_behavior) && !may_look_incomplete)) {
            return "complete response was cut off";
        }
        return expected_body.compare(0, r.body.size(), r.body) == 0
                   ? ""
                   : "events are missing or duplicated";
    }

    static std::string check_failure(const observed_request& s,
                                     const request_result& r, bool retryable) {
        if (!r.complete) {
            return "failure response was cut off";
        }
        if (!r.stamp.empty() &&
            s.signed_failure_statuses.count(r.status) == 0) {
            return "failure response was not sent by a server";
        }
        if (s.send_count > 0 && must_complete_stream(s.last_behavior) &&
            !s.last_send_lost && r.status != 504) {
            return "successful response was not forwarded";
        }
        const bool claims_not_run = r.status == 503 || r.status == 429 ||
                                    r.status == 408 || r.status == 421;
        if (claims_not_run && !retryable && s.run_count > 0) {
            return "reported as not executed, but was executed";
        }
        return "";
    }

    null_output null_;
    boost::asio::io_context io_{1};
    observed_requests observed_;
    std::map<std::string, sent_request> sent_requests_;
    std::vector<std::unique_ptr<faulty_server>> servers_;
    entry::node_state state_;
    transport::upstream_client client_{io_};
    std::optional<entry::admission_control> admission_;
    std::optional<entry::forwarder> forwarder_{std::in_place, state_, client_};
    transport::streaming_http_server server_{
        io_, {}, [this](auto request, auto response) {
            on_request(std::move(request), std::move(response));
        }};
    std::vector<std::unique_ptr<keep_alive_caller>> callers_;
    std::int64_t version_ = 0;
};

} // namespace hibiscus::testing
