#pragma once

#include "engine_client.hpp"
#include "engine_selector.hpp"
#include "event_log.hpp"
#include "hibiscus/cluster/engine_coordinator.hpp"
#include "hibiscus/cluster/engine_reachability.hpp"
#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/cluster/member_table.hpp"
#include "hibiscus/cluster/step_coordinator.hpp"
#include "hibiscus/cluster/version_table.hpp"
#include "hibiscus/platform/log_client.hpp"
#include "hibiscus/telemetry/metrics.hpp"
#include "peer_rpc_client.hpp"
#include "rollout_planner.hpp"
#include "usage_meter.hpp"

#include <functional>
#include <map>
#include <set>

namespace hibiscus::node {

/// Executes the effects of the step and engine coordinators: places samples on
/// engines, polls engines, and sends orders, reports and pull responses. A
/// *step* is a batch of samples that a trainer requests, a *pull* fetches its
/// finished samples, and a *stream* is the generation of one sample at one
/// engine. Must be used on the control thread only.
class sample_driver {
public:
    /// Receives the response to one pull.
    using pull_callback = std::function<void(wire::pull_response)>;

    /// Returns the document in force, or null if there is none.
    using document_function = std::function<const document::document*()>;

    /// Constructs a driver for the node `self`. Callbacks run on `control_io`.
    sample_driver(const base::node_id& self,
                  boost::asio::io_context& control_io,
                  const cluster::member_table& members,
                  peer_rpc_client& rpc_client, net::peer_mesh& mesh,
                  platform::log_client& log, engine_client& engines,
                  event_log& logger, telemetry::metrics& counters,
                  base::clock clock, document_function current_document);

    /// Opens a step of a trainer whose home is this node.
    wire::step_response open_step(const wire::open_step& message);

    /// Handles a pull of a trainer whose home is this node.
    void pull_samples(const wire::pull_step& message, pull_callback done);

    /// Returns the pull response of another home without the samples that have
    /// become stale in the meantime.
    wire::pull_response
    without_stale_samples(const base::trainer_id& trainer,
                          wire::pull_response response) const;

    /// Admits or refuses a stream at an engine whose home is this node.
    wire::place_response admit_stream(const wire::place_sample& message);

    /// Handles reports from the home of an engine.
    void on_report(const wire::sample_report& message);

    /// Handles the acknowledgement of reports that this node sent.
    void on_acknowledgement(const wire::sample_ack& message);

    /// Cancels streams at engines whose home is this node.
    void cancel_streams(const wire::cancel_streams& message);

    /// Records a version of a trainer if it is newer than the known one.
    void update_newest_version(const base::trainer_id& trainer,
                               wire::weight_version version);

    /// Applies the versions and engine statuses of a node's heartbeat, and
    /// reassigns homes if the set of engines that the node can reach has
    /// changed.
    void on_heartbeat(const wire::heartbeat& heartbeat);

    /// Applies the instance list of the platform.
    void update_instances(const wire::instance_list& list);

    /// Takes over or releases engines and trainers according to the members and
    /// the document.
    void assign_homes();

    /// Handles expired timers, polls engines and records usage.
    void tick();

    /// Returns the statuses of the engines whose home is this node, for
    /// heartbeats.
    std::vector<wire::engine_status> engine_statuses() const;

    /// Returns the newest version of each trainer.
    const cluster::version_table& versions() const { return versions_; }

    /// Returns all engines of the instance list.
    const cluster::engine_table& engines() const { return engines_; }

    /// Returns, for each owner of pools and trainers, the time for which engine
    /// slots were used, were idle or had streams queued for them. Covers the
    /// engines whose home is this node.
    const policy::usage_meter& usage() const { return usage_; }

    /// Returns the steps of the trainers whose home is this node.
    const cluster::step_coordinator& steps() const { return step_coordinator_; }

private:
    std::optional<int>
    staleness_bound_of(const base::trainer_id& trainer) const;
    cluster::straggler_policy
    straggler_policy_of(const base::trainer_id& trainer) const;
    cluster::engine_traits traits_of(const cluster::engine_entry& entry,
                                     const document::document& document,
                                     const document::pool& pool) const;
    void request_streams_of_moved_engines();
    void forward_report(const wire::sample_report& message);

    void record_ended_streams(const wire::sample_report& message);
    void execute_effects();
    void execute(const cluster::place_stream& effect);
    void execute(const cluster::cancel_stream& effect);
    void execute(const cluster::send_pull_response& effect);
    void execute(const cluster::start_at_engine& effect);
    void execute(const cluster::stop_at_engine& effect);
    void execute(const cluster::send_order& effect);
    void execute(const cluster::send_report& effect);
    void execute(const cluster::append_epoch& effect);
    void on_place_response(const base::stream_id& stream,
                           const wire::place_response& response);
    void poll_engines();
    void
    on_poll_response(const base::engine_id& engine,
                     const std::optional<wire::engine_poll_response>& response);
    std::optional<base::endpoint>
    address_of(const base::engine_id& engine) const;
    base::node_id home_of(const base::engine_id& engine) const;

    base::node_id self_;
    boost::asio::io_context& control_io_;
    const cluster::member_table& members_;
    peer_rpc_client& peer_rpc_client_;
    net::peer_mesh& mesh_;
    platform::log_client& log_;
    engine_client& engine_client_;
    event_log& logger_;
    telemetry::metrics& counters_;
    base::clock clock_;
    document_function current_document_;
    cluster::version_table versions_;
    cluster::engine_table engines_;
    engine_selector selector_;
    cluster::step_coordinator step_coordinator_;
    rollout_planner rollout_;
    cluster::engine_coordinator engine_coordinator_;
    cluster::engine_reachability reachability_;
    std::map<base::engine_id, base::node_id> engine_homes_;
    policy::usage_meter usage_;
    std::map<cluster::waiter_id, pull_callback> callbacks_;
    cluster::waiter_id last_waiter_id_ = 0;
    std::set<base::engine_id> engines_being_polled_;
    std::map<base::engine_id, base::millis> last_poll_at_;
    std::uint64_t epoch_append_count_ = 0;
};

} // namespace hibiscus::node
