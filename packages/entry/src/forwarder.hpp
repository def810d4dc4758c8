#pragma once

#include "node_state.hpp"

#include "hibiscus/transport/streaming_http_server.hpp"

#include <functional>
#include <memory>
#include <set>
#include <variant>

namespace hibiscus::entry {

/// A request on its way to a service.
struct forward_request {
    /// Its id and what it is about, for the log: "lookup" or "reward".
    std::string id;
    const char* kind = "request";
    transport::upstream_request http_request;
    samplers::service_name service;
    /// The most servers that it may be sent to.
    int max_attempts = 1;
    /// Whether it may run more than once.
    bool retryable = false;
    /// Whether the answer is handed on as it comes.
    bool streaming = false;
    /// Whether a stream that breaks off goes on at another server.
    bool resumable = false;
    /// Whether a server's own failure is tried again elsewhere.
    bool retry_server_errors = false;
    /// When it must be answered, by the node's clock.
    base::millis deadline = 0;
    /// Within which its answer is worth the most, in ms.
    base::millis latency_target_ms = 0;
};

/// A server's whole answer.
struct forwarded_response {
    transport::response_head head;
    std::string body;
    std::string signature;
    /// How many servers answered that it failed there, this one included.
    int failed_attempts = 0;
};

/// No server answered.
struct forward_failure {
    /// True if a server may have run it.
    bool may_have_executed = false;
    /// True if the time was over, not the servers.
    bool timed_out = false;
    /// How many servers answered that it failed there.
    int failed_attempts = 0;
};

using forward_result = std::variant<forwarded_response, forward_failure>;

/// A request under way; it ends when the last holder lets go or cancels.
class active_forward {
public:
    virtual ~active_forward() = default;
    /// Gives the request up; nothing is called afterwards.
    virtual void cancel() = 0;
};

/// Sends requests to the servers of a service, and again to others as far as
/// the kind of the request allows.
class forwarder {
public:
    forwarder(node_state& state, transport::upstream_client& client)
        : state_(state), client_(client) {}

    /// Sends a request and calls `done` once with what came of it.
    std::shared_ptr<active_forward>
    send(forward_request request, std::function<void(forward_result)> done);

    /// Sends a request whose answer goes to a caller. It is given up if the
    /// caller leaves.
    void
    forward_to_caller(forward_request request,
                      std::shared_ptr<transport::response_writer> response);

private:
    node_state& state_;
    transport::upstream_client& client_;
};

} // namespace hibiscus::entry
