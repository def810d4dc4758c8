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
constexpr std::uint64_t max_samples_per_step = 65536;
constexpr std::uint32_t max_tokens_per_sample = 1000000;
constexpr base::millis default_ttl_ms = 1000;

/// Returns the HTTP status for an outcome.
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

/// Returns true if `id` is valid as a segment of a path.
bool is_valid_id(const std::string& id) {
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !id.empty() && id.size() <= max_id_bytes && id != "." &&
           id != ".." && std::all_of(id.begin(), id.end(), allowed);
}

std::vector<std::string> split_path(const std::string& target) {
    std::vector<std::string> parts;
    std::size_t segment_begin = 1;
    const auto end = std::min(target.find('?'), target.size());
    while (segment_begin <= end) {
        const auto slash = std::min(target.find('/', segment_begin), end);
        parts.push_back(target.substr(segment_begin, slash - segment_begin));
        segment_begin = slash + 1;
    }
    return parts;
}

bool parse_number(const std::string& text, std::int64_t& number) {
    const char* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, number);
    return parsed.ec == std::errc() && parsed.ptr == last && number >= 0;
}

/// Returns the first problem of a request to a service, or nullopt if it is
/// valid.
std::optional<wire::problem> validate(const wire::service_request& request) {
    const auto invalid = wire::reason::invalid_request;
    if (!is_valid_id(request.id.str())) {
        return wire::problem{invalid, "/id", "1 to 128 of A-Z a-z 0-9 - _ ."};
    }
    if (request.deadline_ms <= 0 || request.deadline_ms > max_deadline_ms) {
        return wire::problem{invalid, "/deadline_ms", "1 to 600000"};
    }
    if (!request.idempotent && request.created_ms <= 0) {
        return wire::problem{invalid, "/created_ms", "the time of day in ms"};
    }
    return std::nullopt;
}

/// Returns the first problem of a step request, or nullopt if it is valid.
std::optional<wire::problem> validate(const wire::step_request& request) {
    const auto invalid = wire::reason::invalid_request;
    std::uint64_t total_samples = 0;
    for (std::size_t i = 0; i < request.groups.size(); ++i) {
        const auto group_path = "/groups/" + std::to_string(i);
        total_samples += request.groups[i].samples;
        if (request.groups[i].samples == 0 ||
            total_samples > max_samples_per_step) {
            return wire::problem{invalid, group_path + "/samples",
                                 "1 or more, 65536 in all"};
        }
        if (request.groups[i].max_tokens == 0 ||
            request.groups[i].max_tokens > max_tokens_per_sample) {
            return wire::problem{invalid, group_path + "/max_tokens",
                                 "1 to 1000000"};
        }
    }
    if (request.groups.empty()) {
        return wire::problem{invalid, "/groups", "one group or more"};
    }
    if (request.version < 0) {
        return wire::problem{invalid, "/version", "0 or more"};
    }
    return std::nullopt;
}

/// Returns the first problem of a pull request, or nullopt if it is valid.
std::optional<wire::problem> validate(const wire::pull_request& request) {
    const auto invalid = wire::reason::invalid_request;
    if (request.version < 0) {
        return wire::problem{invalid, "/version", "0 or more"};
    }
    for (const auto& range : request.received) {
        if (range.first > range.last || range.last >= max_samples_per_step) {
            return wire::problem{invalid, "/received", "pairs [first, last]"};
        }
    }
    if (request.wait_ms < 0) {
        return wire::problem{invalid, "/wait_ms", "0 or more"};
    }
    return std::nullopt;
}

/// Returns the message in the body of a request. If the body is invalid, sends
/// a 4xx response and returns nullopt.
template <class T>
std::optional<T> parse_body(const net::http_request& request,
                            const net::http_responder& respond) {
    if (request.content_type.rfind("application/json", 0) != 0) {
        respond(problem(status_unsupported_media_type, "/content-type",
                        "application/json"));
        return std::nullopt;
    }
    auto decoded = wire::from_json<T>(request.body);
    auto* value = base::value_if(decoded);
    if (value == nullptr) {
        respond(problem(status_bad_request, "/body",
                        std::get<wire::decode_error>(decoded).message));
        return std::nullopt;
    }
    if (const auto error = validate(*value)) {
        respond(
            {status_bad_request, wire::to_json(*error), "application/json"});
        return std::nullopt;
    }
    return std::move(*value);
}

/// Returns a function that counts a response and sends it.
template <class T>
std::function<void(T)> make_response_function(telemetry::metrics& counters,
                                              const char* kind,
                                              net::http_responder respond) {
    return [&counters, kind, respond = std::move(respond)](const T& response) {
        counters.count_response(kind,
                                std::string(base::name_of(response.result)),
                                std::string(base::name_of(response.why)));
        respond({status_of(response.result, response.why),
                 wire::to_json(response), "application/json"});
    };
}

} // namespace

public_api::public_api(base::node_id self, control_plane& control,
                       const shared_view& shared, service_gateway& services,
                       telemetry::metrics& counters, base::clock clock,
                       std::size_t max_non_idempotent)
    : self_(std::move(self)), control_(control), shared_(shared),
      services_(services), counters_(counters), clock_(std::move(clock)),
      non_idempotent_limit_(max_non_idempotent) {}

void public_api::handle(net::http_request request,
                        net::http_responder respond) {
    if (request.method == "GET") {
        handle_get(request, respond);
        return;
    }
    const auto path = split_path(request.target);
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
        control_.collect_status([respond](std::string text) {
            respond({status_ok, std::move(text), "application/json"});
        });
    } else {
        respond(problem(status_not_found, "/target", "a path of docs/API.md"));
    }
}

void public_api::list_entries(const net::http_responder& respond) {
    const auto view = shared_.get();
    wire::entries_response response;
    response.ttl_ms = view->revision
                          ? view->revision->content.limit.entries_ttl_ms
                          : default_ttl_ms;
    response.entries = view->entries;
    respond({status_ok, wire::to_json(response), "application/json"});
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
    auto done = make_response_function<wire::service_response>(
        counters_, "service", respond);
    wire::reason why{};
    if (!accepts_requests(why)) {
        done(wire::make_not_run_response(body->id, why, default_ttl_ms, self_));
    } else if (body->idempotent) {
        services_.run(*body, std::move(done));
    } else {
        run_non_idempotent(*body, std::move(done));
    }
}

/// Passes a non-idempotent request to the control thread, which handles
/// requests one after the other. Without a limit, each request would wait
/// behind all others during an overload, until its deadline. Requests beyond
/// the limit are rejected at once instead.
void public_api::run_non_idempotent(
    const wire::service_request& request,
    std::function<void(wire::service_response)> done) {
    std::optional<base::millis> retry_after;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!non_idempotent_limit_.try_acquire()) {
            retry_after = non_idempotent_limit_.retry_after(clock_.now());
        }
    }
    if (retry_after) {
        done(wire::make_not_run_response(request.id, wire::reason::overloaded,
                                         *retry_after, self_));
        return;
    }
    control_.run_request(request, [this, done = std::move(done)](
                                      wire::service_response response) {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            non_idempotent_limit_.release(clock_.now());
        }
        done(std::move(response));
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
    const bool is_put = request.method == "PUT";
    const bool is_post = request.method == "POST";
    if (path.size() == 5 && path[3] == "steps" && is_put) {
        open_step(request, trainer, number, respond);
    } else if (path.size() == 5 && path[3] == "versions" && is_put) {
        publish_version(trainer, number, respond);
    } else if (path.size() == 6 && path[3] == "steps" && path[5] == "pull" &&
               is_post) {
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
    auto done =
        make_response_function<wire::step_response>(counters_, "step", respond);
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
    auto done =
        make_response_function<wire::pull_response>(counters_, "pull", respond);
    wire::reason why{};
    if (!accepts_requests(why)) {
        wire::pull_response response;
        response.pull = body->pull;
        response.result = wire::outcome::not_run;
        response.why = why;
        response.retry_after_ms = default_ttl_ms;
        response.node = self_;
        done(std::move(response));
        return;
    }
    const auto view = shared_.get();
    if (view->revision) {
        body->wait_ms =
            std::min(body->wait_ms, view->revision->content.limit.pull_wait_ms);
    }
    control_.pull_samples({trainer, step, *body}, std::move(done));
}

void public_api::publish_version(const base::trainer_id& trainer,
                                 wire::weight_version version,
                                 const net::http_responder& respond) {
    auto done = make_response_function<wire::version_response>(
        counters_, "version", respond);
    wire::reason why{};
    if (!accepts_requests(why)) {
        done({wire::outcome::not_run, why, default_ttl_ms, 0});
        return;
    }
    const auto view = shared_.get();
    if (view->revision && view->revision->content.find(trainer) == nullptr) {
        done({wire::outcome::not_run, wire::reason::unknown_trainer,
              default_ttl_ms, 0});
        return;
    }
    control_.publish_version({trainer, version}, std::move(done));
}

} // namespace hibiscus::node
