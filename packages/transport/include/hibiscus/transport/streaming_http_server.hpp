#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/transport/headers.hpp"
#include "hibiscus/transport/peer_buffers.hpp"
#include "hibiscus/transport/server_resources.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace hibiscus::transport {

/// A complete request.
struct inbound_request {
    std::string method;
    std::string target;
    headers fields;
    std::string body;
};

/// A complete response.
struct outbound_response {
    int status = 200;
    headers fields;
    std::string body;
};

/// Limits on the size of requests and on the time that a connection may be
/// idle. They can be changed while the server runs.
struct http_server_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 32 * 1024 * 1024;
    /// Time from the first byte of a head to its end.
    base::millis header_timeout_ms = 3000;
    base::millis idle_timeout_ms = 15000;
};

/// Sends the response to one request. Remains valid after the caller has
/// disconnected; output is then discarded.
class response_writer {
public:
    virtual ~response_writer() = default;

    /// Sends a complete response.
    virtual void send(outbound_response response) = 0;
    /// Starts a chunked response. Its body is sent with write().
    virtual void send_head(int status, const headers& fields) = 0;
    /// Sends `data` as the next chunk of the body.
    virtual void write(std::string_view data) = 0;
    /// Ends the body and thereby completes the response.
    virtual void finish() = 0;
    /// Closes the connection without completing the response, so that the
    /// caller can detect that the response is incomplete.
    virtual void abort() = 0;
    /// Sets a callback that is called once if the request ends before the
    /// response has been sent completely, for instance because the caller
    /// disconnects. Calls it immediately if the request has already ended, even
    /// if its response was sent completely.
    virtual void on_disconnect(std::function<void()> callback) = 0;

    /// Returns true while so much of the response waits for the caller that its
    /// source must pause.
    virtual bool is_full() const { return false; }
    /// Sets a callback that is called whenever the caller has read and the
    /// response is not full. Dropped when the request ends.
    virtual void on_room(std::function<void()> callback) {
        static_cast<void>(callback);
    }
    /// Returns how many bytes the response may add at once; 0 if it has to
    /// wait.
    virtual std::size_t room() const {
        return std::numeric_limits<std::size_t>::max();
    }
};

/// Called for each request once it has been read completely. The handler
/// responds through the response_writer, either before it returns or later.
using request_handler =
    std::function<void(inbound_request, std::shared_ptr<response_writer>)>;

/// Why a request ended before its handler's response was sent completely.
enum class abort_cause {
    /// The caller closed or reset its connection.
    caller_disconnected,
    /// The caller read the response too slowly.
    write_timeout,
    /// The handler aborted the response or released its response_writer
    /// without responding.
    handler_aborted,
    /// The server shut down first. It sent an error response itself if no part
    /// of a response had been sent.
    server_shutdown,
};

/// A request that was read completely but whose response was not sent
/// completely.
struct aborted_request {
    /// The value of the request id header, or empty.
    std::string request_id;
    std::string target;
    abort_cause cause = abort_cause::caller_disconnected;
    /// The time since the request was read completely.
    base::millis age_ms = 0;
    /// Whether a part of the response was passed to the connection.
    bool response_started = false;
};

/// Why a server rejected a request before it was read completely.
enum class reject_cause {
    /// The input is no request.
    malformed,
    /// The head, the body or the trailers are larger than the limits.
    too_large,
    /// The head took too long.
    slow_head,
    /// The process holds too much for requests, and others need the room.
    no_room,
    /// The connection was closed to make place for another one.
    connection_limit,
};

/// A request that was rejected before it was read completely.
struct rejected_request {
    /// The value of the request id header, or empty if it is not known.
    std::string request_id;
    std::string target;
    reject_cause cause = reject_cause::malformed;
    /// The status of the response, or 0 if there is none.
    int status = 0;
    /// Bytes that were held for the request.
    std::size_t held_bytes = 0;
    /// The time since the request last made progress.
    base::millis age_ms = 0;
};

/// How a server reports requests that its handler did not answer completely.
struct abort_reporting {
    /// The name of the header field that contains the request id.
    std::string request_id_header;
    /// Called for each aborted request. May be empty.
    std::function<void(const aborted_request&)> on_abort;
    /// Called for each rejected request. May be empty.
    std::function<void(const rejected_request&)> on_reject = nullptr;
};

/// An HTTP/1.1 server for one address. Supports streamed responses and notifies
/// handlers when the caller disconnects. Must be used only on the thread that
/// runs its io_context.
class streaming_http_server {
public:
    /// Constructs a server that does not listen yet. Servers of one process
    /// share `resources`; by default, a server has its own.
    streaming_http_server(
        boost::asio::io_context& io, http_server_limits limits,
        request_handler handler, abort_reporting reporting = {},
        std::shared_ptr<server_resources> resources = nullptr);
    ~streaming_http_server();

    streaming_http_server(const streaming_http_server&) = delete;
    streaming_http_server& operator=(const streaming_http_server&) = delete;

    /// Listens on `address`, where port 0 selects a free port. Returns the
    /// bound address, or nothing on failure.
    std::optional<base::endpoint> listen(const base::endpoint& address);

    /// Changes the limits for requests that begin from now on. A connection
    /// that is already idle keeps the longer of the old and the new idle
    /// timeout.
    void set_limits(http_server_limits limits);

    /// Changes the bounds on what is held for callers, of all servers that
    /// share the resources.
    void set_buffer_limits(peer_buffer_limits limits);

    /// Returns what is held for callers, of all servers that share the
    /// resources.
    const peer_buffers& buffers() const;

    /// Sets a callback for the first of a row of failed accepts; it gets the
    /// error's message.
    void set_on_accept_failed(std::function<void(const std::string&)> callback);

    /// Returns the number of failed accepts.
    std::uint64_t accept_failures() const;

    /// Adds `Connection: close` to all further responses. Idle connections stay
    /// open until then, because the caller may be about to send a request.
    void drain();

    /// Stops listening and closes each connection as soon as no request is
    /// being read or answered on it. Requests that have arrived by then are
    /// still served.
    void close();

    /// Returns true once close() was called and all connections are closed.
    bool is_closed() const;

    /// Closes all connections at once, whatever their requests, as the end of
    /// the process would.
    void abort_connections();

    /// Sends an empty response with `status` to all requests in flight in place
    /// of their handlers. If a response has already started, closes the
    /// connection instead.
    void fail_open_requests(int status);

    /// Returns the number of requests whose response has not been sent
    /// completely.
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

template <>
struct enum_names<transport::reject_cause> {
    static constexpr enum_name<transport::reject_cause> table[] = {
        {transport::reject_cause::malformed, "malformed"},
        {transport::reject_cause::too_large, "too_large"},
        {transport::reject_cause::slow_head, "slow_head"},
        {transport::reject_cause::no_room, "no_room"},
        {transport::reject_cause::connection_limit, "connection_limit"},
    };
};

} // namespace hibiscus::base
