#pragma once

#include "hibiscus/cluster/claim_home.hpp"
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
class claim_runner {
public:
    /// Takes the answer to one request.
    using done_function = std::function<void(wire::answer)>;

    /// Constructs a runner for `shards` shards.
    claim_runner(const base::node_id& self, std::uint64_t incarnation,
                 cluster::claim_times times, cluster::shard_number shards,
                 boost::asio::io_context& control, platform::log_client& log,
                 service_gateway& services, decision_log& lines,
                 telemetry::metrics& counters, base::clock clock);

    /// Takes a request whose home this node is, or was a moment ago.
    void submit(const wire::service_request& request, done_function done);

    /// Returns the key by which the home of a request's shard is found.
    std::string home_key(const base::request_id& request) const;

    /// Takes over shards, or leaves them, as `members` says.
    void assign(const cluster::member_table& members);

    /// Changes how long claims are kept, in ms.
    void set_keep(base::millis keep) { home_.set_keep(keep); }

    /// Does what is due.
    void tick();

    /// Returns the number of requests that are not answered.
    std::size_t pending() const { return home_.pending(); }

private:
    void carry_out();
    void run(const cluster::append_claims& effect);
    void run(const cluster::dispatch_request& effect);
    void run(const cluster::answer_request& effect);
    void read_shards();
    void took(cluster::shard_number shard, const platform::read_result& result);

    cluster::claim_home home_;
    cluster::shard_number shards_;
    boost::asio::io_context& control_;
    platform::log_client& log_;
    service_gateway& services_;
    decision_log& lines_;
    telemetry::metrics& counters_;
    base::clock clock_;
    std::map<cluster::claim_waiter, done_function> waiters_;
    cluster::claim_waiter last_waiter_ = 0;
    std::set<cluster::shard_number> reading_;
    std::map<cluster::shard_number, base::millis> read_not_before_;
};

} // namespace hibiscus::node
