#pragma once

#include "decision_log.hpp"
#include "engine_chooser.hpp"
#include "engine_gateway.hpp"
#include "hibiscus/cluster/engine_home.hpp"
#include "hibiscus/cluster/engine_reach.hpp"
#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/cluster/member_table.hpp"
#include "hibiscus/cluster/step_home.hpp"
#include "hibiscus/cluster/version_table.hpp"
#include "hibiscus/platform/log_client.hpp"
#include "hibiscus/telemetry/metrics.hpp"
#include "peer_calls.hpp"
#include "rollout_planner.hpp"
#include "usage_meter.hpp"

#include <functional>
#include <map>
#include <set>

namespace hibiscus::node {

/// Carries out what the homes of steps and engines decide. Lives on the
/// control thread.
class sample_runner {
public:
    /// Takes the answer to one pull.
    using pull_function = std::function<void(wire::pull_answer)>;

    /// Returns the document in force, or null.
    using document_function = std::function<const document::document*()>;

    /// Constructs a runner of the node `self`.
    sample_runner(const base::node_id& self, boost::asio::io_context& control,
                  const cluster::member_table& members, peer_calls& calls,
                  net::peer_mesh& mesh, platform::log_client& log,
                  engine_gateway& engines, decision_log& lines,
                  telemetry::metrics& counters, base::clock clock,
                  document_function document);

    /// Opens a step whose home this node is.
    wire::step_answer open(const wire::open_step& message);

    /// Answers a pull whose home this node is.
    void pull(const wire::pull_step& message, pull_function done);

    /// Returns the answer of another home without what is too old by now.
    wire::pull_answer fresh(const base::trainer_id& trainer,
                            wire::pull_answer answer) const;

    /// Admits a stream at an engine whose home this node is.
    wire::place_answer place(const wire::place_sample& message);

    /// Takes reports of an engine's home.
    void report(const wire::sample_report& message);

    /// Takes an acknowledgement of reports.
    void acknowledge(const wire::sample_ack& message);

    /// Stops streams at engines whose home this node is.
    void cancel(const wire::cancel_streams& message);

    /// Notes a trainer's version.
    void learn(const base::trainer_id& trainer, wire::weight_version version);

    /// Notes what a peer says of the engines whose home it is.
    void hear(const wire::heartbeat& beat);

    /// Takes over the platform's list.
    void update(const wire::instance_page& page);

    /// Takes over engines and trainers, or leaves them, as the members and
    /// the document say.
    void assign();

    /// Does what is due.
    void tick();

    /// Returns the loads of this home's engines, for heartbeats.
    std::vector<wire::engine_digest> digests() const;

    /// Returns the newest versions.
    const cluster::version_table& versions() const { return versions_; }

    /// Returns all engines that are listed.
    const cluster::engine_table& engines() const { return engines_; }

    /// Returns the slot time of this home's engines by owner.
    const policy::usage_account& usage() const { return usage_; }

    /// Returns the trainers whose steps this node has.
    const cluster::step_home& steps() const { return steps_; }

private:
    std::optional<int> bound_of(const base::trainer_id& trainer) const;
    cluster::straggler_policy
    stragglers_of(const base::trainer_id& trainer) const;
    cluster::engine_traits traits_of(const cluster::engine_row& row,
                                     const document::document& document,
                                     const document::pool& pool) const;
    void ask_moved_engines();
    void forward(const wire::sample_report& message);

    void note_ended(const wire::sample_report& message);
    void carry_out();
    void run(const cluster::place_stream& effect);
    void run(const cluster::cancel_stream& effect);
    void run(const cluster::answer_pull& effect);
    void run(const cluster::start_at_engine& effect);
    void run(const cluster::stop_at_engine& effect);
    void run(const cluster::order_engine& effect);
    void run(const cluster::send_report& effect);
    void run(const cluster::take_epoch& effect);
    void placed(const base::stream_id& stream,
                const wire::place_answer& answer);
    void poll_engines();
    void took(const base::engine_id& engine,
              const std::optional<wire::engine_news>& news);
    std::optional<base::endpoint> address_of(const base::engine_id& e) const;
    base::node_id home_of(const base::engine_id& engine) const;

    base::node_id self_;
    boost::asio::io_context& control_;
    const cluster::member_table& members_;
    peer_calls& calls_;
    net::peer_mesh& mesh_;
    platform::log_client& log_;
    engine_gateway& gateway_;
    decision_log& lines_;
    telemetry::metrics& counters_;
    base::clock clock_;
    document_function document_;
    cluster::version_table versions_;
    cluster::engine_table engines_;
    engine_chooser chooser_;
    cluster::step_home steps_;
    rollout_planner rollout_;
    cluster::engine_home homed_;
    cluster::engine_reach reach_;
    std::map<base::engine_id, base::node_id> homes_;
    policy::usage_account usage_;
    std::map<cluster::waiter_id, pull_function> waiters_;
    cluster::waiter_id last_waiter_ = 0;
    std::set<base::engine_id> polling_;
    std::map<base::engine_id, base::millis> polled_at_;
    std::uint64_t epochs_asked_ = 0;
};

} // namespace hibiscus::node
