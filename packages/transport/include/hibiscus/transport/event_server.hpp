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
struct event_server_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 32 * 1024 * 1024;
    base::millis header_ms = 3000;
    base::millis idle_ms = 15000;
};

/// The way to answer one request. It lives as long as someone holds it, also
/// when the caller has left; answers then go nowhere.
class exchange {
public:
    virtual ~exchange() = default;

    /// Sends a whole answer.
    virtual void respond(outbound_response response) = 0;
    /// Starts an answer whose body follows in pieces.
    virtual void begin(int status, const headers& fields) = 0;
    /// Sends a piece of the body.
    virtual void write(std::string_view piece) = 0;
    /// Ends the body, so that the answer is complete.
    virtual void end() = 0;
    /// Closes the connection, so that the answer is seen to be incomplete.
    virtual void abort() = 0;
    /// Sets what is called once if the caller leaves before the answer's end.
    virtual void on_closed(std::function<void()> closed) = 0;
};

/// Handles one request.
using exchange_handler =
    std::function<void(inbound_request, std::shared_ptr<exchange>)>;

/// Why a request has ended without a complete answer of its handler.
enum class cut_cause {
    /// The caller closed or reset its connection.
    caller_left,
    /// The caller did not take the answer in time.
    write_overdue,
    /// The handler broke the answer off, or dropped the request.
    abandoned,
    /// The server ended first; it answered itself if nothing had been sent.
    server_ended,
};

/// A request, read whole, that its handler did not answer completely.
struct cut_request {
    /// The value of the field that names requests, or "".
    std::string id;
    std::string target;
    cut_cause cause = cut_cause::caller_left;
    /// How long ago it was read whole, in ms.
    base::millis age_ms = 0;
    /// Whether some of the answer was sent.
    bool answer_began = false;
};

/// What a server tells of requests that it could not answer.
struct event_server_report {
    /// The name of the field that names requests.
    std::string id_field;
    std::function<void(const cut_request&)> cut;
};

/// Answers HTTP/1.1 on one address, with all work on the one thread of its
/// context. It tells when a caller leaves, and can answer in pieces.
class event_server {
public:
    /// Constructs a server that is not listening yet.
    event_server(boost::asio::io_context& io, event_server_limits limits,
                 exchange_handler handler, event_server_report report = {});
    ~event_server();

    event_server(const event_server&) = delete;
    event_server& operator=(const event_server&) = delete;

    /// Listens on `address`. Returns the address in use, or nothing.
    std::optional<base::endpoint> listen(const base::endpoint& address);

    /// Changes the bounds, for requests that begin from now on. A connection
    /// that is idle already may stay so for the longer of the two times.
    void set_limits(event_server_limits limits);

    /// Says from now on in each answer that it is the connection's last.
    /// Connections stay open until then: a caller that has one may be about to
    /// use it.
    void drain();

    /// Stops to listen and ends each connection as soon as no request is being
    /// read or answered on it. What has arrived by then is still served.
    void close();

    /// Returns true once close() was called and all connections have ended.
    bool closed() const;

    /// Answers all open requests with `status` in their handlers' place; those
    /// of which some of an answer was sent are cut off.
    void answer_open(int status);

    /// Returns the number of requests without a complete answer.
    std::size_t in_flight() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::transport

namespace hibiscus::base {

template <>
struct enum_names<transport::cut_cause> {
    static constexpr enum_name<transport::cut_cause> table[] = {
        {transport::cut_cause::caller_left, "caller_left"},
        {transport::cut_cause::write_overdue, "write_overdue"},
        {transport::cut_cause::abandoned, "abandoned"},
        {transport::cut_cause::server_ended, "server_ended"},
    };
};

} // namespace hibiscus::base
