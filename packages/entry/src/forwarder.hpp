#pragma once

#include "node_state.hpp"

#include "hibiscus/transport/event_server.hpp"

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
    transport::upstream_request content;
    samplers::service_name service;
    /// The most servers that it may be sent to.
    int attempts = 1;
    /// Whether it may run more than once.
    bool repeatable = false;
    /// Whether the answer is handed on as it comes.
    bool streamed = false;
    /// Whether a stream that breaks off goes on at another server.
    bool resumable = false;
    /// Whether a server's own failure is tried again elsewhere.
    bool retry_failures = false;
    /// When it must be answered, by the node's clock.
    base::millis due = 0;
    /// Within which its answer is worth the most, in ms.
    base::millis objective_ms = 0;
};

/// A server's whole answer.
struct forwarded {
    transport::upstream_head head;
    std::string body;
    std::string signature;
    /// How many servers answered that it failed there, this one included.
    int failures = 0;
};

/// No server answered.
struct not_forwarded {
    /// True if a server may have run it.
    bool may_have_run = false;
    /// True if the time was over, not the servers.
    bool timed_out = false;
    /// How many servers answered that it failed there.
    int failures = 0;
};

using forward_result = std::variant<forwarded, not_forwarded>;

/// A request under way; it ends when the last holder lets go or cancels.
class forwarding {
public:
    virtual ~forwarding() = default;
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
    std::shared_ptr<forwarding> send(forward_request request,
                                     std::function<void(forward_result)> done);

    /// Sends a request whose answer goes to a caller. It is given up if the
    /// caller leaves.
    void answer(forward_request request,
                std::shared_ptr<transport::exchange> caller);

private:
    node_state& state_;
    transport::upstream_client& client_;
};

} // namespace hibiscus::entry
