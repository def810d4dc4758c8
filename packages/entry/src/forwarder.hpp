#pragma once

#include "admission_control.hpp"
#include "node_state.hpp"
#include "usage_recorder.hpp"

#include "hibiscus/batch/crash_ledger.hpp"
#include "hibiscus/transport/streaming_http_server.hpp"

#include <functional>
#include <memory>
#include <set>
#include <variant>

namespace hibiscus::entry {

/// A request to be forwarded to a service.
struct forward_request {
    /// The request id, for logs.
    std::string id;
    /// The kind of the request for logs and metrics: "request" or "reward".
    const char* kind = "request";
    /// The workspace of the caller; empty if the request needs no API key.
    std::string workspace;
    transport::upstream_request http_request;
    samplers::service_name service;
    /// The kind of call, which determines how long a response usually takes.
    std::string route;
    /// Maximum number of servers to try. A resend to the same server after a
    /// stale connection does not count.
    int max_attempts = 1;
    /// Whether the request may be executed more than once.
    bool retryable = false;
    /// Whether the response body is passed on as it arrives.
    bool streaming = false;
    /// Whether an interrupted stream is resumed at another server.
    bool resumable = false;
    /// Whether a response with a 5xx status is retried at another server.
    bool retry_server_errors = false;
    /// Whether idle connections may be used. The end of one does not tell
    /// whether the server has run the request.
    bool reuse_connection = true;
    /// Whether the request must not be sent to a server that is silent, until
    /// something comes from it: whether it ended before or under the request
    /// could not be told.
    bool avoid_silent_servers = false;
    /// Number of servers that may be lost after the request was sent; then no
    /// other server is tried, since the request may end them.
    int max_lost_servers = batch::crash_ledger::max_server_ends;
    /// Called for each server that may have ended while it had the request.
    /// May be empty.
    std::function<void(const batch::server_loss&)> on_server_lost;
    /// Called for each attempt that was given up while a server had it that may
    /// end under it later. May be empty.
    std::function<void(const batch::server_loss&)> on_abandoned;
    /// Asked before an attempt is repeated at another server. May be empty.
    std::function<bool()> may_repeat;
    /// Deadline for the response, by the clock of the node.
    base::millis deadline = 0;
    /// Target latency of the response, in ms.
    base::millis latency_target_ms = 0;
    /// Priority among the requests that wait for the service; 0 is the most
    /// urgent.
    int priority = 0;
};

admission::traffic_kind traffic_kind_of(const forward_request& request);

/// The complete response of a server.
struct forwarded_response {
    transport::response_head head;
    std::string body;
    std::string signature;
    /// Number of servers that responded with status 500, including this one.
    int failed_attempts = 0;
};

/// No server gave a usable response.
struct forward_failure {
    /// True if a server may have executed the request.
    bool may_have_executed = false;
    /// True if the deadline passed; false if the servers failed.
    bool timed_out = false;
    /// Number of servers that responded with status 500.
    int failed_attempts = 0;
    /// Time after which the request is expected to be admitted, in ms; 0 if
    /// unknown. Set only if no server may have executed the request.
    base::millis retry_after_ms = 0;
};

using forward_result = std::variant<forwarded_response, forward_failure>;

/// A request in flight. It ends when it is cancelled or completed.
class active_forward {
public:
    virtual ~active_forward() = default;
    /// Cancels the request. No callback is invoked afterwards.
    virtual void cancel() = 0;
};

/// Sends requests to the servers of a service and retries them at other servers
/// as far as their kind allows.
class forwarder {
public:
    /// `usage` records the requests of workspaces that run, and `admission`
    /// admits plain requests; both may be null.
    forwarder(node_state& state, transport::upstream_client& client,
              usage_recorder* usage = nullptr,
              admission_control* admission = nullptr)
        : state_(state), client_(client), usage_(usage), admission_(admission) {
    }

    /// Sends a request and calls `done` exactly once with the result, unless it
    /// is cancelled.
    std::shared_ptr<active_forward>
    send(forward_request request, std::function<void(forward_result)> done);

    /// Forwards the request of a caller and writes the result to `response`.
    /// The request is cancelled if the caller disconnects.
    void
    forward_to_caller(forward_request request,
                      std::shared_ptr<transport::response_writer> response);

    /// Returns true if callers and reward calls get shares of a service that is
    /// short of room.
    bool keeps_shares() const { return admission_ != nullptr; }

private:
    node_state& state_;
    transport::upstream_client& client_;
    usage_recorder* usage_;
    admission_control* admission_;
};

} // namespace hibiscus::entry
