#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/transport/headers.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hibiscus::transport {

/// A request to a server behind this one.
struct upstream_request {
    std::string method = "GET";
    std::string target = "/";
    /// Without the framing of the message, which the client sets.
    headers fields;
    std::string body;
};

/// The status and header fields of an answer.
struct response_head {
    int status = 0;
    headers fields;
};

/// How a call ended.
enum class call_outcome {
    complete,              ///< The whole answer came.
    closed_without_length, ///< An answer without a length ended with its
                           ///< connection.
    not_sent,              ///< No byte of the request can have left.
    broken, ///< The connection ended or sent bytes that are no answer.
    stale_connection, ///< A kept connection ended without an answer, or held
                      ///< another request's; whether the request ran is open.
    idle_timeout,     ///< Nothing came for as long as the call allows.
    total_timeout,    ///< The call's whole time was over.
};

/// What a call tells, on the thread of its context. After `ended` nothing
/// more comes; a cancelled call tells nothing further.
struct upstream_callbacks {
    std::function<void(const response_head&)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void(call_outcome)> on_end;
};

/// The bounds of one call, in ms; 0 stands for no bound. Time in which the
/// thread was held up counts only for the whole time, and an answer that has
/// come by then is taken.
struct upstream_call_options {
    base::millis connect_timeout_ms = 1000;
    /// The longest time without a byte.
    base::millis idle_timeout_ms = 0;
    base::millis total_timeout_ms = 0;
    /// Whether a connection that was used before may serve. Its server may
    /// have closed it at the same moment, which leaves open whether the
    /// request ran.
    bool reuse_connection = true;
};

/// One call under way.
class upstream_call {
public:
    virtual ~upstream_call() = default;

    /// Closes the connection of the call, which tells the server to stop.
    virtual void cancel() = 0;

    /// Returns true if the call has opened a connection of its own.
    virtual bool opened_connection() const = 0;
};

/// Counts of what a client did.
struct upstream_counts {
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_reused = 0;
    std::uint64_t unsolicited_reads = 0;
};

/// Sends HTTP/1.1 requests over kept connections and hands answers on as they
/// arrive. All work is on the one thread of its context.
class upstream_client {
public:
    explicit upstream_client(boost::asio::io_context& io);
    ~upstream_client();

    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    /// Sends a request. An answer whose `echo` field differs from the
    /// request's belongs to another request and counts as broken; an empty
    /// `echo` asks for no such check.
    std::shared_ptr<upstream_call> start(const base::endpoint& target,
                                         upstream_request request,
                                         upstream_call_options options,
                                         upstream_callbacks events,
                                         const std::string& echo = "");

    /// Ends all calls to `target` that began before `before` as timed out, or
    /// as not sent if they had no connection. For
    /// a target that was silent and answers again: what it was asked before
    /// will never be answered, and would hold up its callers until their
    /// bounds.
    void end_calls_started_before(const base::endpoint& target,
                                  base::millis before);

    /// Closes the kept connections to `target`.
    void close_idle_connections(const base::endpoint& target);

    upstream_counts counts() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::transport

namespace hibiscus::base {

template <>
struct enum_names<transport::call_outcome> {
    static constexpr std::array<enum_name<transport::call_outcome>, 7> table{{
        {transport::call_outcome::complete, "complete"},
        {transport::call_outcome::closed_without_length, "closed"},
        {transport::call_outcome::not_sent, "not_sent"},
        {transport::call_outcome::broken, "broken"},
        {transport::call_outcome::stale_connection, "stale"},
        {transport::call_outcome::idle_timeout, "silent"},
        {transport::call_outcome::total_timeout, "timed_out"},
    }};
};

} // namespace hibiscus::base
