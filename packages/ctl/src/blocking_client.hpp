#pragma once

#include "hibiscus/net/http_client.hpp"
#include "hibiscus/platform/log_client.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <future>
#include <thread>

namespace hibiscus::ctl {

/// A client of the entry and the log service. Its calls block until they
/// succeed or fail.
class blocking_client {
public:
    blocking_client();
    ~blocking_client();

    blocking_client(const blocking_client&) = delete;
    blocking_client& operator=(const blocking_client&) = delete;

    /// Sends a request and waits for the result.
    net::http_result send(const base::endpoint& target,
                          net::http_request request);

    /// Appends a record to a stream of the log service at `log`.
    platform::append_result append(const base::endpoint& log,
                                   const std::string& stream,
                                   const base::append_id& id,
                                   const std::string& data);

    /// Reads records at offsets `from` and above from a stream of the log
    /// service at `log`. Waits up to `wait_ms` for the first record.
    platform::read_result read(const base::endpoint& log,
                               const std::string& stream, wire::log_offset from,
                               base::millis wait_ms);

private:
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_guard_;
    net::http_client http_;
    std::thread thread_;
};

} // namespace hibiscus::ctl
