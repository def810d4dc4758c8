#pragma once

#include "control_plane.hpp"
#include "hibiscus/admission/limits.hpp"
#include "hibiscus/net/http.hpp"

#include <functional>
#include <mutex>
#include <string>

namespace hibiscus::node {

/// Handles the HTTP requests of callers, on traffic threads. A request with an
/// invalid path, method or body gets a 4xx response with a typed problem; see
/// docs/API.md.
class public_api {
public:
    /// Constructs the API of a node that accepts at most `max_non_idempotent`
    /// non-idempotent requests in flight.
    public_api(base::node_id self, control_plane& control,
               const shared_view& shared, service_gateway& services,
               telemetry::metrics& counters, base::clock clock,
               std::size_t max_non_idempotent);

    /// Handles one request. `respond` may be called later and on another
    /// thread.
    void handle(net::http_request request, net::http_responder respond);

private:
    void handle_get(const net::http_request& request,
                    const net::http_responder& respond);
    void run_service(const net::http_request& request,
                     const net::http_responder& respond);
    void handle_trainer_request(const net::http_request& request,
                                const std::vector<std::string>& path,
                                const net::http_responder& respond);
    void open_step(const net::http_request& request,
                   const base::trainer_id& trainer, wire::step_number step,
                   const net::http_responder& respond);
    void pull_samples(const net::http_request& request,
                      const base::trainer_id& trainer, wire::step_number step,
                      const net::http_responder& respond);
    void publish_version(const base::trainer_id& trainer,
                         wire::weight_version version,
                         const net::http_responder& respond);
    void list_entries(const net::http_responder& respond);
    bool accepts_requests(wire::reason& why) const;
    void run_non_idempotent(const wire::service_request& request,
                            std::function<void(wire::service_response)> done);

    base::node_id self_;
    control_plane& control_;
    const shared_view& shared_;
    service_gateway& services_;
    telemetry::metrics& counters_;
    base::clock clock_;
    std::mutex mutex_;
    admission::concurrency_limit non_idempotent_limit_;
};

} // namespace hibiscus::node
