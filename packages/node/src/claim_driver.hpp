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

/// Carries out what the claim home decides: appends, reads, dispatches.
/// Lives on the control thread.
class claim_driver {
public:
    /// Takes the answer to one request.
    using done_function = std::function<void(wire::service_response)>;

    /// Constructs a runner for `shards` shards.
    claim_driver(const base::node_id& self, std::uint64_t incarnation,
                 cluster::claim_options times, cluster::shard_number shards,
                 boost::asio::io_context& control, platform::log_client& log,
                 service_gateway& services, event_log& lines,
                 telemetry::metrics& counters, base::clock clock);

    /// Takes a request whose home this node is, or was a moment ago.
    void submit_request(const wire::service_request& request,
                        done_function done);

    /// Returns the key by which the home of a request's shard is found.
    std::string home_key(const base::request_id& request) const;

    /// Takes over shards, or leaves them, as `members` says.
    void assign_shards(const cluster::member_table& members);

    /// Changes how long claims are kept, in ms.
    void set_claim_retention(base::millis keep) {
        coordinator_.set_claim_retention(keep);
    }

    /// Does what is due.
    void on_tick();

    /// Returns the number of requests that are not answered.
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
    cluster::shard_number shards_;
    boost::asio::io_context& control_;
    platform::log_client& log_;
    service_gateway& services_;
    event_log& logger_;
    telemetry::metrics& counters_;
    base::clock clock_;
    std::map<cluster::claim_waiter_id, done_function> callbacks_;
    cluster::claim_waiter_id last_waiter_ = 0;
    std::set<cluster::shard_number> shards_being_read_;
    std::map<cluster::shard_number, base::millis> read_not_before_;
};

} // namespace hibiscus::node
