#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/transport/headers.hpp"
#include "hibiscus/transport/response_buffers.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscus::transport {

/// The body of a request. Copies share the bytes, so that a request can be sent
/// again without holding its body twice.
class shared_body {
public:
    shared_body() = default;
    // A string is a body wherever one is expected.
    shared_body(std::string bytes) // NOLINT(google-explicit-constructor)
        : bytes_(std::make_shared<const std::string>(std::move(bytes))) {}
    shared_body(const char* bytes) // NOLINT(google-explicit-constructor)
        : shared_body(std::string(bytes)) {}

    std::string_view view() const {
        return bytes_ ? std::string_view(*bytes_) : std::string_view();
    }
    bool empty() const { return view().empty(); }
    std::size_t size() const { return view().size(); }

    friend bool operator==(const shared_body& body, std::string_view bytes) {
        return body.view() == bytes;
    }

private:
    std::shared_ptr<const std::string> bytes_;
};

/// A request to a backend server or to another node.
struct upstream_request {
    std::string method = "GET";
    std::string target = "/";
    /// The header fields. Must not contain Content-Length or Transfer-Encoding;
    /// the client frames the body itself.
    headers fields;
    shared_body body;
};

/// The status and the header fields of a response.
struct response_head {
    int status = 0;
    headers fields;
};

/// How a call ended.
enum class call_outcome {
    /// The complete response was received.
    complete,
    /// The server closed the connection to end a response without a declared
    /// length, which may therefore be truncated.
    closed_without_length,
    /// No byte of the request was sent.
    not_sent,
    /// The connection ended early, or the response was malformed or belonged to
    /// another request.
    broken,
    /// A reused connection ended without a response or contained the response
    /// to another request. The server may or may not have processed the
    /// request.
    stale_connection,
    /// There was no room for what the receiver keeps of the response.
    too_large,
    /// No data was received for `idle_timeout_ms`.
    idle_timeout,
    /// The call took longer than `total_timeout_ms`, or was ended by
    /// end_calls_started_before().
    total_timeout,
};

/// The callbacks of a call. Each may be empty. They are called on the thread of
/// the client's io_context. `on_end` is the last callback of a call; a
/// cancelled call makes no further callbacks.
struct upstream_callbacks {
    std::function<void(const response_head&)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void(call_outcome)> on_end;
};

/// The options of a call. The connect timeout always applies; for the
/// others, 0 means no timeout. Time in which the thread was stalled counts only
/// toward `total_timeout_ms`. A response that arrived during a stall is still
/// accepted.
struct upstream_call_options {
    base::millis connect_timeout_ms = 1000;
    /// The maximum time without receiving data.
    base::millis idle_timeout_ms = 0;
    base::millis total_timeout_ms = 0;
    /// Whether the call may reuse an idle connection. The server may close such
    /// a connection just when the request is sent, and it is then unknown
    /// whether the request was processed.
    bool reuse_connection = true;
    /// Whether a request whose reused connection ended without a response is
    /// sent once more on a new connection. Only for requests that may be
    /// processed twice.
    bool resend_if_stale = false;
    /// Maximum size of the response body, in bytes. A larger one is malformed.
    std::uint64_t max_body_bytes = std::uint64_t{64} * 1024 * 1024;
};

/// A call in flight.
class upstream_call {
public:
    virtual ~upstream_call() = default;

    /// Closes the call's connection, so that the server can detect the
    /// cancellation. No callback is called after this.
    virtual void cancel() = 0;

    /// Stops reading the response, so that the server has to wait; no timeout
    /// expires meanwhile. A part that was read already may still be delivered.
    virtual void pause() = 0;

    /// Reads on.
    virtual void resume() = 0;

    /// Says how many bytes of the response the receiver keeps at present.
    /// Returns false if there is no room for them. Unless the receiver then
    /// keeps less, the call ends as `too_large` once `on_data` returns.
    virtual bool keep(std::size_t bytes) = 0;

    /// Returns true if the call opened a new connection instead of reusing one.
    virtual bool opened_connection() const = 0;

    /// Returns true if the request was sent a second time because the reused
    /// connection ended without a response.
    virtual bool was_resent() const = 0;

    /// Returns true if no process accepts connections at the address.
    virtual bool was_refused() const = 0;
};

/// Counters of a client.
struct upstream_counts {
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_reused = 0;
    /// Idle connections that had unread input, and responses that belonged to
    /// another request.
    std::uint64_t unsolicited_reads = 0;
    /// Responses that HTTP does not allow, or that are larger than allowed.
    std::uint64_t malformed_responses = 0;
};

/// An HTTP/1.1 client that reuses connections and streams responses. Must be
/// used only on the thread that runs its io_context.
class upstream_client {
public:
    /// Counts what receivers keep of responses in `buffers`; by default, the
    /// client has its own.
    explicit upstream_client(
        boost::asio::io_context& io,
        std::shared_ptr<response_buffers> buffers = nullptr);
    ~upstream_client();

    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    /// Sends a request. If `echo_header` is not empty, the server must repeat
    /// the value of this request field in its response. A response with another
    /// value, or a successful one without the field, is taken for the response
    /// to another request; the call then fails as `broken` or
    /// `stale_connection`.
    std::shared_ptr<upstream_call> start(const base::endpoint& address,
                                         upstream_request request,
                                         upstream_call_options options,
                                         upstream_callbacks callbacks,
                                         const std::string& echo_header = "");

    /// Ends all calls to `address` that started before `cutoff` as timed out,
    /// or as not sent if they had no connection. Intended for a server that
    /// responds again after a period of silence: it will
    /// never respond to requests that it received before or during the silence,
    /// and these calls would otherwise wait until their timeouts.
    void end_calls_started_before(const base::endpoint& address,
                                  base::millis cutoff);

    /// Closes the idle connections to `address`.
    void close_idle_connections(const base::endpoint& address);

    upstream_counts counts() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::transport

namespace hibiscus::base {

template <>
struct enum_names<transport::call_outcome> {
    static constexpr std::array<enum_name<transport::call_outcome>, 8> table{{
        {transport::call_outcome::complete, "complete"},
        {transport::call_outcome::closed_without_length, "closed"},
        {transport::call_outcome::not_sent, "not_sent"},
        {transport::call_outcome::broken, "broken"},
        {transport::call_outcome::stale_connection, "stale"},
        {transport::call_outcome::too_large, "too_large"},
        {transport::call_outcome::idle_timeout, "silent"},
        {transport::call_outcome::total_timeout, "timed_out"},
    }};
};

} // namespace hibiscus::base
