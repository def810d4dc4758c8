#include "hibiscus/platform/instance_client.hpp"

#include "hibiscus/wire/codec.hpp"

namespace hibiscus::platform {

namespace {

constexpr base::millis fetch_timeout_ms = 1500;
constexpr int status_ok = 200;

} // namespace

instance_client::instance_client(net::http_client& http, base::endpoint target)
    : http_(http), target_(std::move(target)) {}

void instance_client::fetch(
    std::function<void(std::optional<wire::instance_list>)> done) {
    net::http_request request;
    request.target = "/v1/instances";
    http_.send(target_, std::move(request), fetch_timeout_ms,
               net::connection_reuse::allowed,
               [done = std::move(done)](const net::http_result& result) {
                   const auto* response =
                       std::get_if<net::http_response>(&result);
                   if (response == nullptr || response->status != status_ok) {
                       done(std::nullopt);
                       return;
                   }
                   auto decoded =
                       wire::from_json<wire::instance_list>(response->body);
                   auto* value = base::value_if(decoded);
                   done(value != nullptr ? std::make_optional(std::move(*value))
                                         : std::nullopt);
               });
}

} // namespace hibiscus::platform
