#include "engine_client.hpp"

#include "hibiscus/wire/codec.hpp"

namespace hibiscus::node {

namespace {

constexpr base::millis call_timeout = 1000;
constexpr base::millis poll_timeout_margin_ms = 1000;
constexpr int status_ok = 200;

net::http_request post_to(const char* target, std::string body) {
    net::http_request request;
    request.method = "POST";
    request.target = target;
    request.body = std::move(body);
    return request;
}

/// Returns the message in a result, or nothing.
template <class T>
std::optional<T> decode(const net::http_result& result) {
    const auto* response = std::get_if<net::http_response>(&result);
    if (response == nullptr || response->status != status_ok) {
        return std::nullopt;
    }
    auto read = wire::from_json<T>(response->body);
    auto* value = base::value_if(read);
    return value != nullptr ? std::make_optional(std::move(*value))
                            : std::nullopt;
}

} // namespace

engine_client::engine_client(net::http_client& http, base::clock clock)
    : http_(http), clock_(std::move(clock)) {}

void engine_client::start_stream(const base::endpoint& engine,
                                 const wire::stream_start& start,
                                 std::function<void(bool)> done) {
    http_.send(engine, post_to("/v1/streams", wire::to_json(start)),
               call_timeout, net::connection_reuse::allowed,
               [done = std::move(done)](const net::http_result& result) {
                   const auto* r = std::get_if<net::http_response>(&result);
                   done(r != nullptr && r->status == status_ok);
               });
}

void engine_client::stop_stream(const base::endpoint& engine,
                                const base::stream_id& stream) {
    const wire::cancel_streams message{base::engine_id(), {stream}, {}};
    http_.send(engine, post_to("/v1/streams/stop", wire::to_json(message)),
               call_timeout, net::connection_reuse::allowed,
               [](const net::http_result&) {});
}

void engine_client::poll_streams(
    const base::endpoint& engine, const wire::engine_poll& poll,
    std::function<void(std::optional<wire::engine_poll_response>)> done) {
    http_.send(engine, post_to("/v1/streams/poll", wire::to_json(poll)),
               poll.wait_ms + poll_timeout_margin_ms,
               net::connection_reuse::allowed,
               [done = std::move(done)](const net::http_result& result) {
                   done(decode<wire::engine_poll_response>(result));
               });
}

void engine_client::send_order(
    const base::endpoint& engine, const wire::version_order& order,
    base::millis expires_at,
    std::function<void(std::optional<wire::order_result>)> done) {
    // A process that was paused for longer than an order lives may no longer
    // be the engine's home; another's newer order must not be undone.
    const auto left = expires_at - clock_.now();
    if (left <= 0) {
        done(std::nullopt);
        return;
    }
    http_.send(engine, post_to("/v1/orders", wire::to_json(order)), left,
               net::connection_reuse::never,
               [done = std::move(done)](const net::http_result& result) {
                   const auto answer = decode<wire::order_response>(result);
                   done(answer ? std::make_optional(answer->verdict)
                               : std::nullopt);
               });
}

} // namespace hibiscus::node
