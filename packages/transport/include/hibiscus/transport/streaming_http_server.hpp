#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/transport/headers.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hibiscus::transport {

/// A request, read whole, with its header fields.
struct inbound_request {
    std::string method;
    std::string target;
    headers fields;
    std::string body;
};

/// An answer that is sent whole.
struct outbound_response {
    int status = 200;
    headers fields;
    std::string body;
};

/// Bounds on what a caller may send, and how long it may take, in bytes and
/// ms. They may change while the server runs.
struct http_server_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 32 * 1024 * 1024;
    base::millis header_timeout_ms = 3000;
    base::millis idle_timeout_ms = 15000;
};

/// The way to answer one request. It lives as long as someone holds it, also
/// when the caller has left; answers then go nowhere.
class response_writer {
public:
    virtual ~response_writer() = default;

    /// Sends a whole answer.
    virtual void send(outbound_response response) = 0;
    /// Starts an answer whose body follows in pieces.
    virtual void send_head(int status, const headers& fields) = 0;
    /// Sends a piece of the body.
    virtual void write(std::string_view piece) = 0;
    /// Ends the body, so that the answer is complete.
    virtual void finish() = 0;
    /// Closes the connection, so that the answer is seen to be incomplete.
    virtual void abort() = 0;
    /// Sets what is called once if the caller leaves before the answer's end.
    virtual void on_disconnect(std::function<void()> closed) = 0;
};

/// Handles one request.
using request_handler =
    std::function<void(inbound_request, std::shared_ptr<response_writer>)>;

/// Why a request has ended without a complete answer of its handler.
enum class abort_cause {
    /// The caller closed or reset its connection.
    caller_disconnected,
    /// The caller did not take the answer in time.
    write_timeout,
    /// The handler broke the answer off, or dropped the request.
    handler_aborted,
    /// The server ended first; it answered itself if nothing had been sent.
    server_shutdown,
};

/// A request, read whole, that its handler did not answer completely.
struct aborted_request {
    /// The value of the field that names requests, or "".
    std::string request_id;
    std::string target;
    abort_cause cause = abort_cause::caller_disconnected;
    /// How long ago it was read whole, in ms.
    base::millis age_ms = 0;
    /// Whether some of the answer was sent.
    bool response_started = false;
};

/// What a server tells of requests that it could not answer.
struct abort_reporting {
    /// The name of the field that names requests.
    std::string request_id_header;
    std::function<void(const aborted_request&)> on_abort;
};

/// Answers HTTP/1.1 on one address, with all work on the one thread of its
/// context. It tells when a caller leaves, and can answer in pieces.
class streaming_http_server {
public:
    /// Constructs a server that is not listening yet.
    streaming_http_server(boost::asio::io_context& io,
                          http_server_limits limits, request_handler handler,
                          abort_reporting report = {});
    ~streaming_http_server();

    streaming_http_server(const streaming_http_server&) = delete;
    streaming_http_server& operator=(const streaming_http_server&) = delete;

    /// Listens on `address`. Returns the address in use, or nothing.
    std::optional<base::endpoint> listen(const base::endpoint& address);

    /// Changes the bounds, for requests that begin from now on. A connection
    /// that is idle already may stay so for the longer of the two times.
    void set_limits(http_server_limits limits);

    /// Says from now on in each answer that it is the connection's last.
    /// Connections stay open until then: a caller that has one may be about to
    /// use it.
    void drain();

    /// Stops to listen and ends each connection as soon as no request is being
    /// read or answered on it. What has arrived by then is still served.
    void close();

    /// Returns true once close() was called and all connections have ended.
    bool is_closed() const;

    /// Answers all open requests with `status` in their handlers' place; those
    /// of which some of an answer was sent are cut off.
    void fail_open_requests(int status);

    /// Returns the number of requests without a complete answer.
    std::size_t requests_in_flight() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::transport

namespace hibiscus::base {

template <>
struct enum_names<transport::abort_cause> {
    static constexpr enum_name<transport::abort_cause> table[] = {
        {transport::abort_cause::caller_disconnected, "caller_left"},
        {transport::abort_cause::write_timeout, "write_overdue"},
        {transport::abort_cause::handler_aborted, "abandoned"},
        {transport::abort_cause::server_shutdown, "server_ended"},
    };
};

} // namespace hibiscus::base
