#pragma once

#include "forwarder.hpp"

#include "faulty_server.hpp"
#include "hibiscus/gateway/configuration.hpp"
#include "hibiscus/transport/event_server.hpp"
#include "plain_caller.hpp"
#include "platform/front.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hibiscus::testing {

constexpr int services = 2;
constexpr int servers_of_a_service = 3;
constexpr int callers = 24;
constexpr base::millis plain_deadline_ms = 600;
constexpr base::millis stream_deadline_ms = 1500;
constexpr base::millis longest_wait_ms = 60000;

/// The kinds of routes that callers use.
struct route_shape {
    const char* prefix = "";
    gateway::route_kind kind = gateway::route_kind::idempotent;
    bool resumable = false;
    int attempts = 1;
};

constexpr route_shape again{"/again/", gateway::route_kind::idempotent, false,
                            3};
constexpr route_shape again_at_one{"/again-at-one/",
                                   gateway::route_kind::idempotent, false, 1};
constexpr route_shape once{"/once/", gateway::route_kind::non_idempotent, false,
                           3};
constexpr route_shape stream{"/stream/", gateway::route_kind::streaming, false,
                             2};
constexpr route_shape resumed{"/resumed/", gateway::route_kind::streaming, true,
                              3};
constexpr std::array<route_shape, 5> shapes{again, again_at_one, once, stream,
                                            resumed};

inline std::string service_at(int n) {
    return "service-" + std::to_string(n % services);
}

/// A file descriptor that takes what is written and drops it.
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

struct asked_request {
    route_shape shape;
    std::shared_ptr<caller_result> result;
};

/// The way to a caller whose connection has ended.
class ended_exchange : public transport::exchange {
public:
    void respond(transport::outbound_response) override {}
    void begin(int, const transport::headers&) override {}
    void write(std::string_view) override {}
    void end() override {}
    void abort() override {}
    void on_closed(std::function<void()> closed) override { closed(); }
};

/// Callers, a front with a forwarder, and faulty servers on one event loop.
class forwarder_world {
public:
    forwarder_world() : state_({}, {}, null_.descriptor()) {
        for (int n = 0; n < services * servers_of_a_service; ++n) {
            servers_.push_back(std::make_unique<faulty_server>(
                io_, "server-" + std::to_string(n), seen_));
            put_server(n, false);
        }
        configure(0, 0);
        const auto at = front_.listen({"127.0.0.1", 0});
        for (int n = 0; n < callers; ++n) {
            callers_.push_back(std::make_unique<plain_caller>(io_, *at));
        }
    }

    /// Takes a configuration; `a` says where routes lead and which is missing,
    /// `b` how long their requests may take.
    void configure(int a, int b) {
        gateway::configuration next;
        next.version = ++version_;
        for (std::size_t n = 0; n < shapes.size(); ++n) {
            if (a % 11 == static_cast<int>(n) + 1) {
                continue;
            }
            gateway::route r;
            r.host = "h";
            r.path_prefix = shapes[n].prefix;
            r.kind = shapes[n].kind;
            r.resumable = shapes[n].resumable;
            r.attempts = shapes[n].attempts;
            const bool plain = r.kind != gateway::route_kind::streaming;
            r.timeout_ms = plain && b % 2 == 1 ? 300 + b % 300 : 0;
            r.targets = {{service_at(a + static_cast<int>(n)), 1}};
            next.routes.push_back(std::move(r));
        }
        state_.routes = std::move(next);
    }

    /// Has a caller send a request; `plan` is what servers do with its sends.
    std::shared_ptr<caller_result>
    ask(const route_shape& shape, int caller, std::vector<conduct> plan,
        std::size_t body_bytes,
        std::optional<std::chrono::milliseconds> leaves_after = std::nullopt) {
        const auto id = "r" + std::to_string(seen_.size());
        auto& s = seen_[id];
        s.streamed = shape.kind == gateway::route_kind::streaming;
        s.plan = std::move(plan);
        s.body = id + std::string(body_bytes,
                                  static_cast<char>('a' + seen_.size() % 26));
        caller_request r;
        r.result = std::make_shared<caller_result>();
        r.leaves_after = leaves_after;
        r.bytes = "POST " + std::string(shape.prefix) + id +
                  "?q=1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
                  "\r\nDeadline-Ms: " +
                  std::to_string(s.streamed ? stream_deadline_ms
                                            : plain_deadline_ms) +
                  "\r\nContent-Length: " + std::to_string(s.body.size()) +
                  "\r\n\r\n" + s.body;
        asked_[id] = {shape, r.result};
        auto result = r.result;
        callers_[static_cast<std::size_t>(caller) % callers_.size()]->add(
            std::move(r));
        return result;
    }

    /// Forwards a request whose caller has left.
    void forward_for_nobody() {
        entry::forward_request f;
        f.content.fields = {{"Host", "h"}, {"Request-Id", "gone"}};
        f.service = samplers::service_name(service_at(0));
        f.repeatable = true;
        f.due = state_.clock.now() + plain_deadline_ms;
        forwarder_.answer(std::move(f), std::make_shared<ended_exchange>());
    }

    void remove_server(int n) { state_.samplers.remove(id_of(n)); }

    void put_server(int n, bool draining) {
        const auto& s =
            *servers_[static_cast<std::size_t>(n) % servers_.size()];
        samplers::registration r;
        r.service = samplers::service_name(
            service_at(n % (services * servers_of_a_service)));
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

    /// Runs until servers have got so many sends; false if that never happens.
    bool run_until_sent(int sends) {
        const base::clock clock;
        const auto until = clock.now() + longest_wait_ms;
        while (sends_seen() < sends && clock.now() < until) {
            run_for(std::chrono::milliseconds(1));
        }
        return sends_seen() >= sends;
    }

    std::string metrics() const { return state_.counters.serialize(); }

    std::size_t requests() const { return asked_.size(); }

    /// Runs until all callers are done. Returns what is wrong, or "".
    std::string finish() {
        const base::clock clock;
        const auto until = clock.now() + longest_wait_ms;
        while (callers_are_busy() && clock.now() < until) {
            run_for(std::chrono::milliseconds(2));
        }
        if (callers_are_busy()) {
            return "a caller waits without end";
        }
        run_for(std::chrono::milliseconds(30));
        for (const auto& c : callers_) {
            if (c->stray_bytes() > 0) {
                return "bytes came behind the last answer";
            }
        }
        return check_all();
    }

private:
    samplers::sampler_id id_of(int n) const {
        return samplers::sampler_id(
            servers_[static_cast<std::size_t>(n) % servers_.size()]->name());
    }

    void on_request(transport::inbound_request request,
                    std::shared_ptr<transport::exchange> answer) {
        const auto front = adapter::parse_front(request);
        const auto& call = std::get<adapter::routed_call>(front);
        const auto* r =
            gateway::match(*state_.routes, call.host, request.target);
        if (r == nullptr) {
            answer->respond(adapter::plain_status(404));
            return;
        }
        entry::forward_request f;
        f.id = call.id;
        f.content.method = std::move(request.method);
        f.content.target = std::move(request.target);
        f.content.body = std::move(request.body);
        f.content.fields = {{"Host", call.host}, {"Request-Id", call.id}};
        f.service = samplers::service_name(r->targets.front().service);
        f.attempts = r->attempts;
        f.streamed = r->kind == gateway::route_kind::streaming;
        f.resumable = f.streamed && r->resumable;
        f.repeatable =
            r->kind == gateway::route_kind::idempotent || f.resumable;
        const auto time = r->timeout_ms > 0
                              ? std::min(call.deadline_ms, r->timeout_ms)
                              : call.deadline_ms;
        f.due = state_.clock.now() + time;
        forwarder_.answer(std::move(f), std::move(answer));
    }

    int sends_seen() const {
        int out = 0;
        for (const auto& [id, s] : seen_) {
            out += s.sends;
        }
        return out;
    }

    bool callers_are_busy() const {
        for (const auto& c : callers_) {
            if (c->busy()) {
                return true;
            }
        }
        return false;
    }

    std::string check_all() const {
        for (const auto& [id, s] : seen_) {
            const auto at = asked_.find(id);
            if (at == asked_.end()) {
                return "nobody asked for it: " + s.wrong;
            }
            auto wrong = check(id, s, at->second);
            if (!wrong.empty()) {
                return wrong.append(": ").append(describe(s, at->second));
            }
        }
        return "";
    }

    static std::string describe(const seen_request& s, const asked_request& a) {
        std::string out = a.shape.prefix;
        out += " " + a.result->error;
        out += " status " + std::to_string(a.result->status) + ", sends " +
               std::to_string(s.sends) + ", runs " + std::to_string(s.runs) +
               ", plan";
        for (const auto c : s.plan) {
            out += " " + std::to_string(static_cast<int>(c));
        }
        return out;
    }

    static std::string check(const std::string& id, const seen_request& s,
                             const asked_request& a) {
        const auto& r = *a.result;
        if (!s.wrong.empty() || !r.wrong.empty()) {
            return s.wrong + r.wrong;
        }
        const bool repeatable =
            a.shape.kind == gateway::route_kind::idempotent ||
            a.shape.resumable;
        if (!repeatable && s.runs > 1) {
            return "ran twice";
        }
        if (s.sends - s.sends_lost_with_connection > a.shape.attempts ||
            static_cast<int>(s.ran_at.size()) > a.shape.attempts) {
            return "more servers than its route allows";
        }
        if (r.left) {
            return "";
        }
        if (!r.head) {
            return "the connection ended without an answer";
        }
        if (r.status == 200) {
            return check_success(id, s, r, a.shape.resumable);
        }
        return check_failure(s, r, repeatable);
    }

    static std::string check_success(const std::string& id,
                                     const seen_request& s,
                                     const caller_result& r, bool resumable) {
        const auto whole = s.streamed ? events_of(id) : answer_of(id);
        if (r.id != id || r.stamp != "of-" + id) {
            return "the answer belongs to another request";
        }
        if (r.complete) {
            return r.body == whole ? "" : "another body came";
        }
        // Without a length, an end can't be told from a cut between two events.
        const bool open_end =
            resumable && s.last == conduct::answers_without_length;
        if (!s.streamed || (is_sound(s.last) && !open_end)) {
            return "a sound answer broke off";
        }
        return whole.compare(0, r.body.size(), r.body) == 0
                   ? ""
                   : "pieces are missing or come twice";
    }

    static std::string check_failure(const seen_request& s,
                                     const caller_result& r, bool repeatable) {
        if (!r.complete) {
            return "a failure broke off";
        }
        if (!r.stamp.empty() && s.failures_signed.count(r.status) == 0) {
            return "no server signed this failure";
        }
        if (s.sends > 0 && is_sound(s.last) && !s.last_lost_with_connection &&
            r.status != 504) {
            return "a sound answer was not handed on";
        }
        const bool promise = r.status == 503 || r.status == 429 ||
                             r.status == 408 || r.status == 421;
        if (promise && !repeatable && s.runs > 0) {
            return "called not run, but it ran";
        }
        return "";
    }

    null_output null_;
    boost::asio::io_context io_{1};
    seen_requests seen_;
    std::map<std::string, asked_request> asked_;
    std::vector<std::unique_ptr<faulty_server>> servers_;
    entry::node_state state_;
    transport::upstream_client client_{io_};
    entry::forwarder forwarder_{state_, client_};
    transport::event_server front_{io_, {}, [this](auto request, auto answer) {
                                       on_request(std::move(request),
                                                  std::move(answer));
                                   }};
    std::vector<std::unique_ptr<plain_caller>> callers_;
    std::int64_t version_ = 0;
};

} // namespace hibiscus::testing
