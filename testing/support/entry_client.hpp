#pragma once

#include "hibiscus/net/http_client.hpp"
#include "hibiscus/wire/codec.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace hibiscus::testing {

/// Parses a comma-separated list of addresses. Skips invalid ones.
std::vector<base::endpoint> parse_addresses(const std::string& text);

/// Calls hibiscustack in the way that is documented for callers: fetches the
/// entry addresses, caches them for their time to live, sends requests to them
/// in turn, and drops an address that fails. Thread-safe.
class entry_client {
public:
    /// Constructs a client that fetches its entries from `seed_addresses`.
    explicit entry_client(std::vector<base::endpoint> seed_addresses);

    ~entry_client();

    entry_client(const entry_client&) = delete;
    entry_client& operator=(const entry_client&) = delete;

    /// Sends a request to an entry and blocks until it completes or fails.
    net::http_result send(net::http_request request, base::millis timeout);

    /// Sends a request to `target` and blocks until it completes or fails.
    net::http_result send_to(const base::endpoint& target,
                             net::http_request request, base::millis timeout);

    /// Sends `body` and returns the decoded response, or nothing if there is no
    /// response or it can't be decoded as T.
    template <class T>
    std::optional<T> call(const std::string& method, const std::string& target,
                          std::string body, base::millis timeout) {
        net::http_request request;
        request.method = method;
        request.target = target;
        request.body = std::move(body);
        return decode_response<T>(send(std::move(request), timeout));
    }

    /// Decodes the body of a response. Returns nothing if there is no response
    /// or the body can't be decoded as T.
    template <class T>
    static std::optional<T> decode_response(const net::http_result& result) {
        const auto* response = std::get_if<net::http_response>(&result);
        if (response == nullptr) {
            return std::nullopt;
        }
        auto decoded = wire::from_json<T>(response->body);
        auto* value = base::value_if(decoded);
        return value != nullptr ? std::make_optional(std::move(*value))
                                : std::nullopt;
    }

    const base::clock& clock() const { return clock_; }

private:
    base::endpoint pick_entry();
    void refresh_entries();
    bool fetch_entries(const base::endpoint& target);
    void remove_entry(const base::endpoint& target);

    base::clock clock_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_guard_;
    net::http_client http_;
    std::thread thread_;
    std::mutex mutex_;
    std::vector<base::endpoint> seed_addresses_;
    std::vector<base::endpoint> entries_;
    base::millis entries_expire_at_ = 0;
    std::size_t next_index_ = 0;
};

} // namespace hibiscus::testing
