#pragma once

#include "control.hpp"
#include "hibiscus/net/http.hpp"
#include "hibiscus/policy/admission.hpp"

#include <functional>
#include <mutex>
#include <string>

namespace hibiscus::node {

/// Answers the callers' HTTP requests on traffic threads. Each path, method
/// and body that is wrong gets a typed 4xx; see docs/API.md.
class callers_api {
public:
    /// Constructs the API of a node that takes `most` non-idempotent requests
    /// at a time.
    callers_api(base::node_id self, control& state, const shared_view& shared,
                service_gateway& services, telemetry::metrics& counters,
                base::clock clock, std::size_t most);

    /// Handles one request.
    void handle(net::http_request request, net::http_responder respond);

private:
    void get(const net::http_request& request,
             const net::http_responder& respond);
    void run_service(const net::http_request& request,
                     const net::http_responder& respond);
    void trainer_call(const net::http_request& request,
                      const std::vector<std::string>& path,
                      const net::http_responder& respond);
    void open_step(const net::http_request& request,
                   const base::trainer_id& trainer, wire::step_number step,
                   const net::http_responder& respond);
    void pull(const net::http_request& request, const base::trainer_id& trainer,
              wire::step_number step, const net::http_responder& respond);
    void publish(const base::trainer_id& trainer, wire::weight_version version,
                 const net::http_responder& respond);
    void entries(const net::http_responder& respond);
    bool takes_requests(wire::reason& why) const;
    void run_claimed(const wire::service_request& request,
                     std::function<void(wire::answer)> done);

    base::node_id self_;
    control& control_;
    const shared_view& shared_;
    service_gateway& services_;
    telemetry::metrics& counters_;
    base::clock clock_;
    std::mutex mutex_;
    policy::work_limit claimed_;
};

} // namespace hibiscus::node
