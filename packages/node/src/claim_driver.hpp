#pragma once

#include "hibiscus/cluster/claim_coordinator.hpp"
#include "hibiscus/cluster/member_table.hpp"
#include "hibiscus/platform/log_client.hpp"
#include "hibiscus/telemetry/metrics.hpp"
#include "service_gateway.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>

namespace hibiscus::node {

/// Executes the effects of the claim coordinator: appends to and reads from the
/// claim streams, dispatches requests and sends responses. Must be used on the
/// control thread only.
class claim_driver {
public:
    /// Receives the response to one request.
    using response_callback = std::function<void(wire::service_response)>;

    /// Constructs a driver for `shard_count` shards of non-idempotent keys.
    /// Callbacks run on `control_io`.
    claim_driver(const base::node_id& self, std::uint64_t incarnation,
                 cluster::claim_options options,
                 cluster::shard_number shard_count,
                 boost::asio::io_context& control_io, platform::log_client& log,
                 service_gateway& services, event_log& logger,
                 telemetry::metrics& counters, base::clock clock);

    /// Submits a request whose home is this node, or was this node when the
    /// sender routed it.
    void submit_request(const wire::service_request& request,
                        response_callback done);

    /// Returns the key that determines the home node of a request's shard.
    std::string home_key(const base::request_id& request) const;

    /// Takes over or releases shards according to the home nodes in `members`.
    void assign_shards(const cluster::member_table& members);

    /// Sets how long claims are retained, in ms.
    void set_claim_retention(base::millis retention) {
        coordinator_.set_claim_retention(retention);
    }

    /// Handles expired timers of the coordinator and reads the shards that it
    /// needs.
    void tick();

    /// Returns the number of requests without a response.
    std::size_t pending_count() const { return coordinator_.pending_count(); }

private:
    void execute_effects();
    void execute(const cluster::append_claims& effect);
    void execute(const cluster::dispatch_request& effect);
    void execute(const cluster::send_response& effect);
    void read_shards();
    void on_read_result(cluster::shard_number shard,
                        const platform::read_result& result);

    cluster::claim_coordinator coordinator_;
    cluster::shard_number shard_count_;
    boost::asio::io_context& control_io_;
    platform::log_client& log_;
    service_gateway& services_;
    event_log& logger_;
    telemetry::metrics& counters_;
    base::clock clock_;
    std::map<cluster::claim_waiter_id, response_callback> callbacks_;
    cluster::claim_waiter_id last_waiter_id_ = 0;
    std::set<cluster::shard_number> shards_being_read_;
    std::map<cluster::shard_number, base::millis> read_not_before_;
};

} // namespace hibiscus::node
