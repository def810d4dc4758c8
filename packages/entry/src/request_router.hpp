#pragma once

#include "batch_api.hpp"
#include "forwarder.hpp"
#include "node_state.hpp"

#include "hibiscus/gateway/access.hpp"
#include "platform/client_api.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hibiscus::entry {

/// Handles the requests of callers: checks their API keys and passes them to
/// the batch API or the forwarder. API keys go no further than this class.
class request_router {
public:
    /// `configuration_age` returns the time since the configuration was last
    /// known to be the newest, in ms.
    request_router(node_state& state, forwarder& request_forwarder,
                   batch_api& jobs,
                   std::function<base::millis()> configuration_age);

    void handle(transport::inbound_request request,
                std::shared_ptr<transport::response_writer> response);

private:
    /// Returns which jobs the caller may access, or nothing after it has
    /// rejected the call.
    std::optional<batch::job_access>
    authorize_job_call(const transport::inbound_request& request,
                       const batch::job_id& job,
                       transport::response_writer& response);
    void handle_routed(const adapter::routed_request& call,
                       transport::inbound_request request,
                       std::shared_ptr<transport::response_writer> response);
    void submit_job(const adapter::routed_request& call,
                    const gateway::workspace* holder,
                    transport::inbound_request request,
                    std::shared_ptr<transport::response_writer> response);
    forward_request make_forward_request(const adapter::routed_request& call,
                                         const gateway::route& route,
                                         const gateway::workspace* holder,
                                         transport::inbound_request request);
    gateway::access_decision
    decide_access(bool is_public, const transport::headers& fields) const;
    gateway::access_limits access_limits() const;
    void reject(const std::string& id, const std::string& host,
                std::string_view reason, transport::response_writer& response,
                transport::outbound_response rejection);
    void reject(const std::string& id, const std::string& host,
                const gateway::access_decision& decision,
                transport::response_writer& response);

    node_state& state_;
    forwarder& forwarder_;
    batch_api& batch_api_;
    std::function<base::millis()> configuration_age_;
};

} // namespace hibiscus::entry
