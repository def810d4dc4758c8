#include "hibiscus/platform/log_client.hpp"

#include "hibiscus/wire/codec.hpp"

namespace hibiscus::platform {

namespace {

constexpr base::millis append_timeout_ms = 1500;
constexpr base::millis read_timeout_margin_ms = 1500;
constexpr base::millis default_retry_after_ms = 200;
constexpr int status_ok = 200;
constexpr int status_too_many_requests = 429;
constexpr int status_service_unavailable = 503;

/// Returns the error for a response with an error status. The service sends 429
/// and 503 only if it did not accept the request; after other statuses it is
/// unknown whether it did.
log_error to_log_error(const net::http_response& response) {
    const bool refused = response.status == status_too_many_requests ||
                         response.status == status_service_unavailable;
    return {refused ? log_error_kind::refused : log_error_kind::unknown,
            default_retry_after_ms};
}

/// Decodes the message in a result, or returns the error.
template <class T>
std::variant<T, log_error> decode(const net::http_result& result) {
    const auto* response = std::get_if<net::http_response>(&result);
    if (response == nullptr) {
        const auto status = std::get<net::http_failure>(result).status;
        return log_error{status == net::delivery_status::not_sent
                             ? log_error_kind::refused
                             : log_error_kind::unknown,
                         default_retry_after_ms};
    }
    if (response->status != status_ok) {
        return to_log_error(*response);
    }
    auto decoded = wire::from_json<T>(response->body);
    if (auto* value = base::value_if(decoded)) {
        return std::move(*value);
    }
    return log_error{log_error_kind::corrupt, default_retry_after_ms};
}

std::string records_path(const std::string& stream) {
    return "/v1/streams/" + stream + "/records";
}

} // namespace

log_client::log_client(net::http_client& http, base::endpoint target)
    : http_(http), target_(std::move(target)) {}

void log_client::append(const std::string& stream, const base::append_id& id,
                        std::string data,
                        std::function<void(append_result)> done) {
    net::http_request request;
    request.method = "POST";
    request.target = records_path(stream);
    request.body = wire::to_json(wire::append_request{id, std::move(data)});
    http_.send(target_, std::move(request), append_timeout_ms,
               net::connection_reuse::never,
               [done = std::move(done)](const net::http_result& result) {
                   done(decode<wire::append_response>(result));
               });
}

void log_client::read(const std::string& stream, wire::log_offset from,
                      base::millis wait_ms,
                      std::function<void(read_result)> done) {
    net::http_request request;
    request.target = records_path(stream) + "?from=" + std::to_string(from) +
                     "&wait_ms=" + std::to_string(wait_ms);
    http_.send(target_, std::move(request), wait_ms + read_timeout_margin_ms,
               net::connection_reuse::allowed,
               [done = std::move(done)](const net::http_result& result) {
                   done(decode<wire::log_page>(result));
               });
}

std::string claim_stream(std::uint32_t shard) {
    return "claims-" + std::to_string(shard);
}

} // namespace hibiscus::platform
