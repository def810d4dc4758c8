#pragma once

#include "hibiscus/net/http_client.hpp"
#include "hibiscus/wire/platform.hpp"

#include <functional>
#include <string>
#include <variant>

namespace hibiscus::platform {

/// How the log service failed.
enum class log_error_kind {
    refused, ///< It did not take the record, and will not.
    unknown, ///< It may have taken the record.
    corrupt  ///< It answered with something that is no answer.
};

/// Says that the log service did not do what it was asked.
struct log_error {
    log_error_kind kind = log_error_kind::unknown;
    /// How long to wait before the next try, in ms.
    base::millis retry_after_ms = 0;
};

/// What an append comes to.
using append_result = std::variant<wire::append_response, log_error>;
/// What a read comes to.
using read_result = std::variant<wire::log_page, log_error>;

/// Speaks to the platform's log service.
class log_client {
public:
    /// Constructs a client of the service at `target`.
    log_client(net::http_client& http, base::endpoint target);

    /// Appends a record. An append that failed `unknown` may be sent again
    /// with the same id; readers drop the second copy.
    void append(const std::string& stream, const base::append_id& id,
                std::string data, std::function<void(append_result)> done);

    /// Reads the records of a stream from the offset `from` on. Waits up to
    /// `wait_ms` for the first.
    void read(const std::string& stream, wire::log_offset from,
              base::millis wait_ms, std::function<void(read_result)> done);

private:
    net::http_client& http_;
    base::endpoint target_;
};

/// Returns the name of the stream that holds a shard's claims.
std::string claim_stream(std::uint32_t shard);

/// The stream of the operators' documents.
constexpr const char* config_stream = "config";
/// The stream whose offsets are the epochs of engine homes.
constexpr const char* engine_epoch_stream = "engine-epochs";

} // namespace hibiscus::platform
