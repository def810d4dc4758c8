#pragma once

#include "hibiscus/net/http_client.hpp"
#include "hibiscus/wire/platform.hpp"

#include <functional>
#include <string>
#include <variant>

namespace hibiscus::platform {

/// How a call to the log service failed.
enum class log_error_kind {
    refused, ///< The request was not accepted and has no effect.
    unknown, ///< It is unknown whether the service accepted the request.
    corrupt  ///< Invalid response; an append may have taken effect.
};

/// A failed call to the log service.
struct log_error {
    log_error_kind kind = log_error_kind::unknown;
    /// The time to wait before a retry, in ms.
    base::millis retry_after_ms = 0;
};

using append_result = std::variant<wire::append_response, log_error>;

using read_result = std::variant<wire::log_page, log_error>;

/// A client of the platform's log service. A stream is a log stream here.
class log_client {
public:
    /// Constructs a client of the service at `target`.
    log_client(net::http_client& http, base::endpoint target);

    /// Appends a record. A failed append may be retried with the same id.
    /// Unless it was `refused`, it may have taken effect, but readers ignore
    /// the second copy.
    void append(const std::string& stream, const base::append_id& id,
                std::string data, std::function<void(append_result)> done);

    /// Reads the records of a stream at offsets `from` and above. Waits up to
    /// `wait_ms` for the first record.
    void read(const std::string& stream, wire::log_offset from,
              base::millis wait_ms, std::function<void(read_result)> done);

private:
    net::http_client& http_;
    base::endpoint target_;
};

/// Returns the name of the stream that holds a shard's claims.
std::string claim_stream(std::uint32_t shard);

/// The stream of configuration documents that operators publish.
constexpr const char* config_stream = "config";
/// The stream to which the home node of an engine appends a record to start an
/// epoch; the epoch is the record's offset plus 1.
constexpr const char* engine_epoch_stream = "engine-epochs";

} // namespace hibiscus::platform
