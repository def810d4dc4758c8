#include "public_api.hpp"

#include "hibiscus/wire/codec.hpp"

#include <algorithm>
#include <charconv>

namespace hibiscus::node {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_unsupported_media_type = 415;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

constexpr std::size_t max_id_bytes = 128;
constexpr base::millis max_deadline_ms = 600000;
constexpr std::uint64_t max_slots_per_step = 65536;
constexpr std::uint32_t max_tokens_per_sample = 1000000;
constexpr base::millis default_ttl_ms = 1000;

/// Returns the HTTP status that stands for an outcome.
int status_of(wire::outcome result, wire::reason why) {
    switch (result) {
    case wire::outcome::completed:
        return status_ok;
    case wire::outcome::not_run:
        return why == wire::reason::overloaded ? status_too_many_requests
                                               : status_unavailable;
    case wire::outcome::unknown:
        return status_gateway_timeout;
    }
    return status_gateway_timeout;
}

net::http_response problem(int status, const std::string& where,
                           const std::string& expected) {
    const wire::problem p{wire::reason::invalid_request, where, expected};
    return {status, wire::to_json(p), "application/json"};
}

/// Returns true if `id` can be a part of a path.
bool is_valid_id(const std::string& id) {
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !id.empty() && id.size() <= max_id_bytes && id != "." &&
           id != ".." && std::all_of(id.begin(), id.end(), allowed);
}

std::vector<std::string> split(const std::string& target) {
    std::vector<std::string> parts;
    std::size_t at = 1;
    const auto end = std::min(target.find('?'), target.size());
    while (at <= end) {
        const auto slash = std::min(target.find('/', at), end);
        parts.push_back(target.substr(at, slash - at));
        at = slash + 1;
    }
    return parts;
}

bool parse_number(const std::string& text, std::int64_t& number) {
    const char* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, number);
    return parsed.ec == std::errc() && parsed.ptr == last && number >= 0;
}

/// Returns what is wrong with a request to a service, or nothing.
std::optional<wire::problem> check(const wire::service_request& r) {
    const auto bad = wire::reason::invalid_request;
    if (!is_valid_id(r.id.str())) {
        return wire::problem{bad, "/id", "1 to 128 of A-Z a-z 0-9 - _ ."};
    }
    if (r.deadline_ms <= 0 || r.deadline_ms > max_deadline_ms) {
        return wire::problem{bad, "/deadline_ms", "1 to 600000"};
    }
    if (!r.idempotent && r.created_ms <= 0) {
        return wire::problem{bad, "/created_ms", "the time of day in ms"};
    }
    return std::nullopt;
}

/// Returns what is wrong with a step, or nothing.
std::optional<wire::problem> check(const wire::step_request& r) {
    const auto bad = wire::reason::invalid_request;
    std::uint64_t slots = 0;
    for (std::size_t i = 0; i < r.groups.size(); ++i) {
        const auto at = "/groups/" + std::to_string(i);
        slots += r.groups[i].samples;
        if (r.groups[i].samples == 0 || slots > max_slots_per_step) {
            return wire::problem{bad, at + "/samples",
                                 "1 or more, 65536 in all"};
        }
        if (r.groups[i].max_tokens == 0 ||
            r.groups[i].max_tokens > max_tokens_per_sample) {
            return wire::problem{bad, at + "/max_tokens", "1 to 1000000"};
        }
    }
    if (r.groups.empty()) {
        return wire::problem{bad, "/groups", "one group or more"};
    }
    if (r.version < 0) {
        return wire::problem{bad, "/version", "0 or more"};
    }
    return std::nullopt;
}

/// Returns what is wrong with a pull, or nothing.
std::optional<wire::problem> check(const wire::pull_request& r) {
    const auto bad = wire::reason::invalid_request;
    if (r.version < 0) {
        return wire::problem{bad, "/version", "0 or more"};
    }
    for (const auto& range : r.received) {
        if (range.first > range.last || range.last >= max_slots_per_step) {
            return wire::problem{bad, "/received", "pairs [first, last]"};
        }
    }
    if (r.wait_ms < 0) {
        return wire::problem{bad, "/wait_ms", "0 or more"};
    }
    return std::nullopt;
}

/// Returns the message in a request's body; answers a 4xx and returns nothing
/// if there is none.
template <class T>
std::optional<T> parse_body(const net::http_request& request,
                            const net::http_responder& respond) {
    if (request.content_type.rfind("application/json", 0) != 0) {
        respond(problem(status_unsupported_media_type, "/content-type",
                        "application/json"));
        return std::nullopt;
    }
    auto read = wire::from_json<T>(request.body);
    auto* value = base::value_if(read);
    if (value == nullptr) {
        respond(problem(status_bad_request, "/body",
                        std::get<wire::decode_error>(read).message));
        return std::nullopt;
    }
    if (const auto wrong = check(*value)) {
        respond(
            {status_bad_request, wire::to_json(*wrong), "application/json"});
        return std::nullopt;
    }
    return std::move(*value);
}

/// Returns a function that counts an answer and sends it.
template <class T>
std::function<void(T)> respond_with(telemetry::metrics& counters,
                                    const char* kind,
                                    net::http_responder respond) {
    return [&counters, kind, respond = std::move(respond)](const T& answer) {
        counters.count_response(kind, std::string(base::name_of(answer.result)),
                                std::string(base::name_of(answer.why)));
        respond({status_of(answer.result, answer.why), wire::to_json(answer),
                 "application/json"});
    };
}

} // namespace

public_api::public_api(base::node_id self, control_plane& state,
                       const shared_view& shared, service_gateway& services,
                       telemetry::metrics& counters, base::clock clock,
                       std::size_t most)
    : self_(std::move(self)), control_(state), shared_(shared),
      services_(services), counters_(counters), clock_(std::move(clock)),
      non_idempotent_limit_(most) {}

void public_api::handle(net::http_request request,
                        net::http_responder respond) {
    if (request.method == "GET") {
        handle_get(request, respond);
        return;
    }
    const auto path = split(request.target);
    if (path.size() == 2 && path[0] == "v1" && path[1] == "requests") {
        run_service(request, respond);
        return;
    }
    if (path.size() >= 5 && path[0] == "v1" && path[1] == "trainers") {
        handle_trainer_request(request, path, respond);
        return;
    }
    respond(problem(status_not_found, "/target", "a path of docs/API.md"));
}

void public_api::handle_get(const net::http_request& request,
                            const net::http_responder& respond) {
    const auto& target = request.target;
    if (target == "/healthz") {
        respond({status_ok, "ok\n", "text/plain"});
    } else if (target == "/readyz") {
        wire::reason why{};
        const bool ready = accepts_requests(why) &&
                           shared_.get()->state == wire::node_state::ready;
        respond({ready ? status_ok : status_unavailable,
                 std::string(base::name_of(shared_.get()->state)) + "\n",
                 "text/plain"});
    } else if (target == "/metrics") {
        respond(
            {status_ok, counters_.serialize(), "text/plain; version=0.0.4"});
    } else if (target == "/v1/entries") {
        list_entries(respond);
    } else if (target == "/v1/status") {
        control_.write_status([respond](std::string text) {
            respond({status_ok, std::move(text), "application/json"});
        });
    } else {
        respond(problem(status_not_found, "/target", "a path of docs/API.md"));
    }
}

void public_api::list_entries(const net::http_responder& respond) {
    const auto v = shared_.get();
    wire::entries_response answer;
    answer.ttl_ms =
        v->config ? v->config->content.limit.entries_ttl_ms : default_ttl_ms;
    answer.entries = v->entries;
    respond({status_ok, wire::to_json(answer), "application/json"});
}

bool public_api::accepts_requests(wire::reason& why) const {
    const auto state = shared_.get()->state;
    why = state == wire::node_state::isolated ? wire::reason::config_unknown
                                              : wire::reason::not_ready;
    return state == wire::node_state::ready ||
           state == wire::node_state::draining;
}

void public_api::run_service(const net::http_request& request,
                             const net::http_responder& respond) {
    if (request.method != "POST") {
        respond(problem(status_method_not_allowed, "/method", "POST"));
        return;
    }
    const auto body = parse_body<wire::service_request>(request, respond);
    if (!body) {
        return;
    }
    auto done =
        respond_with<wire::service_response>(counters_, "service", respond);
    wire::reason why{};
    if (!accepts_requests(why)) {
        done(wire::make_not_run_response(body->id, why, default_ttl_ms, self_));
    } else if (body->idempotent) {
        services_.run(*body, std::move(done));
    } else {
        run_non_idempotent(*body, std::move(done));
    }
}

/// Hands a non-idempotent request to the control thread. That thread works off
/// what it is given in turn, so without a bound an overload would let each
/// request wait behind all others until its deadline; the caller is told at
/// once instead.
void public_api::run_non_idempotent(
    const wire::service_request& request,
    std::function<void(wire::service_response)> done) {
    std::optional<base::millis> refused_for;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!non_idempotent_limit_.try_acquire()) {
            refused_for = non_idempotent_limit_.retry_after(clock_.now());
        }
    }
    if (refused_for) {
        done(wire::make_not_run_response(request.id, wire::reason::overloaded,
                                         *refused_for, self_));
        return;
    }
    control_.run_request(
        request, [this, done = std::move(done)](wire::service_response answer) {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                non_idempotent_limit_.release(clock_.now());
            }
            done(std::move(answer));
        });
}

void public_api::handle_trainer_request(const net::http_request& request,
                                        const std::vector<std::string>& path,
                                        const net::http_responder& respond) {
    const base::trainer_id trainer(path[2]);
    std::int64_t number = 0;
    if (!is_valid_id(path[2]) || !parse_number(path[4], number)) {
        respond(problem(status_not_found, "/target",
                        "a trainer's name and a number"));
        return;
    }
    const bool put = request.method == "PUT";
    const bool post = request.method == "POST";
    if (path.size() == 5 && path[3] == "steps" && put) {
        open_step(request, trainer, number, respond);
    } else if (path.size() == 5 && path[3] == "versions" && put) {
        publish_version(trainer, number, respond);
    } else if (path.size() == 6 && path[3] == "steps" && path[5] == "pull" &&
               post) {
        pull_samples(request, trainer, number, respond);
    } else if (path[3] == "steps" || path[3] == "versions") {
        respond(problem(status_method_not_allowed, "/method",
                        "PUT steps/N, PUT versions/N or POST steps/N/pull"));
    } else {
        respond(problem(status_not_found, "/target", "a path of docs/API.md"));
    }
}

void public_api::open_step(const net::http_request& request,
                           const base::trainer_id& trainer,
                           wire::step_number step,
                           const net::http_responder& respond) {
    const auto body = parse_body<wire::step_request>(request, respond);
    if (!body) {
        return;
    }
    auto done = respond_with<wire::step_response>(counters_, "step", respond);
    wire::reason why{};
    if (!accepts_requests(why)) {
        done({wire::outcome::not_run, why, default_ttl_ms, 0});
        return;
    }
    control_.open_step({trainer, step, *body}, std::move(done));
}

void public_api::pull_samples(const net::http_request& request,
                              const base::trainer_id& trainer,
                              wire::step_number step,
                              const net::http_responder& respond) {
    auto body = parse_body<wire::pull_request>(request, respond);
    if (!body) {
        return;
    }
    auto done = respond_with<wire::pull_response>(counters_, "pull", respond);
    wire::reason why{};
    if (!accepts_requests(why)) {
        wire::pull_response answer;
        answer.pull = body->pull;
        answer.result = wire::outcome::not_run;
        answer.why = why;
        answer.retry_after_ms = default_ttl_ms;
        answer.node = self_;
        done(std::move(answer));
        return;
    }
    const auto v = shared_.get();
    if (v->config) {
        body->wait_ms =
            std::min(body->wait_ms, v->config->content.limit.pull_wait_ms);
    }
    control_.pull_samples({trainer, step, *body}, std::move(done));
}

void public_api::publish_version(const base::trainer_id& trainer,
                                 wire::weight_version version,
                                 const net::http_responder& respond) {
    auto done =
        respond_with<wire::version_response>(counters_, "version", respond);
    wire::reason why{};
    if (!accepts_requests(why)) {
        done({wire::outcome::not_run, why, default_ttl_ms, 0});
        return;
    }
    const auto v = shared_.get();
    if (v->config && v->config->content.find(trainer) == nullptr) {
        done({wire::outcome::not_run, wire::reason::unknown_trainer,
              default_ttl_ms, 0});
        return;
    }
    control_.publish_version({trainer, version}, std::move(done));
}

} // namespace hibiscus::node
