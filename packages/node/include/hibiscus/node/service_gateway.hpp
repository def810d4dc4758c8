#pragma once

#include "hibiscus/net/http_client.hpp"
#include "hibiscus/node/decision_log.hpp"
#include "hibiscus/node/shared_view.hpp"
#include "hibiscus/wire/answers.hpp"

#include <functional>
#include <memory>
#include <mutex>

namespace hibiscus::node {

/// Sends requests to the instances of services. Used by traffic threads;
/// its lock is held only for a choice, never over I/O.
class service_gateway : public std::enable_shared_from_this<service_gateway> {
public:
    /// Takes the answer to one request.
    using done_function = std::function<void(wire::answer)>;

    /// Constructs a gateway of the node `self`.
    service_gateway(base::node_id self, net::http_client& http,
                    const shared_view& shared, decision_log& log,
                    base::clock clock);

    /// Sends a request and calls `done` once. An idempotent one is tried again
    /// within the retry budget; another one is tried again only after an
    /// attempt of which no byte left.
    void run(const wire::service_request& request, done_function done);

private:
    struct attempt;

    void start(const std::shared_ptr<attempt>& a);
    void finished(const std::shared_ptr<attempt>& a,
                  const net::http_result& result);
    void failed(const std::shared_ptr<attempt>& a, net::delivery how);
    bool may_retry(const attempt& a, net::delivery how);
    void log_choice(const attempt& a,
                    const std::vector<policy::instance_choice>& instances,
                    const std::string& choice);

    base::node_id self_;
    net::http_client& http_;
    const shared_view& shared_;
    decision_log& log_;
    base::clock clock_;
    std::mutex mutex_;
    policy::service_router router_;
    policy::retry_budget budget_;
};

} // namespace hibiscus::node
