#pragma once

#include "hibiscus/net/http_client.hpp"
#include "hibiscus/platform/log_client.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <future>
#include <thread>

namespace hibiscus::ctl {

/// Speaks HTTP for a command, which waits for each answer.
class blocking_client {
public:
    blocking_client();
    ~blocking_client();

    blocking_client(const blocking_client&) = delete;
    blocking_client& operator=(const blocking_client&) = delete;

    /// Sends a request and waits for what comes of it.
    net::http_result send(const base::endpoint& to, net::http_request request);

    /// Appends a record to the log at `log` and waits for the answer.
    platform::append_result append(const base::endpoint& log,
                                   const std::string& stream,
                                   const base::append_id& id,
                                   const std::string& data);

    /// Reads records from the log at `log`.
    platform::read_result read(const base::endpoint& log,
                               const std::string& stream, wire::log_offset from,
                               base::millis wait_ms);

private:
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard_;
    net::http_client http_;
    std::thread thread_;
};

} // namespace hibiscus::ctl
