#include "engine_client.hpp"

#include "hibiscus/wire/codec.hpp"

namespace hibiscus::node {

namespace {

constexpr base::millis call_timeout_ms = 1000;
constexpr base::millis poll_timeout_margin_ms = 1000;
constexpr int status_ok = 200;

net::http_request make_post_request(const char* target, std::string body) {
    net::http_request request;
    request.method = "POST";
    request.target = target;
    request.body = std::move(body);
    return request;
}

/// Returns the message in the body of a successful response, or nullopt.
template <class T>
std::optional<T> decode(const net::http_result& result) {
    const auto* response = std::get_if<net::http_response>(&result);
    if (response == nullptr || response->status != status_ok) {
        return std::nullopt;
    }
    auto decoded = wire::from_json<T>(response->body);
    auto* value = base::value_if(decoded);
    return value != nullptr ? std::make_optional(std::move(*value))
                            : std::nullopt;
}

} // namespace

engine_client::engine_client(net::http_client& http, base::clock clock)
    : http_(http), clock_(std::move(clock)) {}

void engine_client::start_stream(const base::endpoint& engine,
                                 const wire::stream_start& start,
                                 std::function<void(bool)> done) {
    http_.send(engine, make_post_request("/v1/streams", wire::to_json(start)),
               call_timeout_ms, net::connection_reuse::allowed,
               [done = std::move(done)](const net::http_result& result) {
                   const auto* response =
                       std::get_if<net::http_response>(&result);
                   done(response != nullptr && response->status == status_ok);
               });
}

void engine_client::stop_stream(const base::endpoint& engine,
                                const base::stream_id& stream) {
    const wire::cancel_streams message{base::engine_id(), {stream}, {}};
    http_.send(engine,
               make_post_request("/v1/streams/stop", wire::to_json(message)),
               call_timeout_ms, net::connection_reuse::allowed,
               [](const net::http_result&) {});
}

void engine_client::poll_streams(
    const base::endpoint& engine, const wire::engine_poll& poll,
    std::function<void(std::optional<wire::engine_poll_response>)> done) {
    http_.send(
        engine, make_post_request("/v1/streams/poll", wire::to_json(poll)),
        poll.wait_ms + poll_timeout_margin_ms, net::connection_reuse::allowed,
        [done = std::move(done)](const net::http_result& result) {
            done(decode<wire::engine_poll_response>(result));
        });
}

void engine_client::send_order(
    const base::endpoint& engine, const wire::version_order& order,
    base::millis expires_at,
    std::function<void(std::optional<wire::order_result>)> done) {
    // A process that was paused for longer than the lifetime of an order may no
    // longer be the engine's home. Its order must not revert a newer one from
    // another node.
    const auto time_left = expires_at - clock_.now();
    if (time_left <= 0) {
        done(std::nullopt);
        return;
    }
    http_.send(engine, make_post_request("/v1/orders", wire::to_json(order)),
               time_left, net::connection_reuse::never,
               [done = std::move(done)](const net::http_result& result) {
                   const auto response = decode<wire::order_response>(result);
                   done(response ? std::make_optional(response->verdict)
                                 : std::nullopt);
               });
}

} // namespace hibiscus::node
