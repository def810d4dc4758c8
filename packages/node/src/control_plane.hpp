#pragma once

#include "claim_driver.hpp"
#include "config_watcher.hpp"
#include "hibiscus/node/settings.hpp"
#include "hibiscus/platform/instance_client.hpp"
#include "sample_driver.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace hibiscus::node {

/// Dependencies of a control_plane. All of them must outlive it.
struct control_dependencies {
    const settings& node_settings;
    boost::asio::io_context& control_io;
    base::clock clock;
    event_log& logger;
    telemetry::metrics& counters;
    shared_view& shared;
    net::peer_mesh& mesh;
    platform::log_client& log;
    platform::instance_client& instances;
    service_gateway& services;
    engine_client& engines;
};

/// Owns the control state of a node. Only the control thread, which runs
/// `control_dependencies::control_io`, reads and changes that state. Unless
/// stated otherwise, the public functions may be called from any thread: they
/// post their work to the control thread and return at once. Callbacks run on
/// the control thread.
class control_plane {
public:
    /// Constructs the control plane of a node that has just started.
    explicit control_plane(const control_dependencies& dependencies);

    /// Starts to read the `config` stream, to poll the instance list and to
    /// exchange heartbeats with the peers.
    void start();

    /// Opens a step at the home node of its trainer.
    void open_step(wire::open_step message,
                   std::function<void(wire::step_response)> done);

    /// Pulls samples from the home node of the trainer.
    void pull_samples(wire::pull_step message,
                      std::function<void(wire::pull_response)> done);

    /// Publishes a version. Calls `done` once every known node has acknowledged
    /// the version or, for nodes that do not respond, once no pull that started
    /// before the publication can still be pending.
    void publish_version(wire::learn_version message,
                         std::function<void(wire::version_response)> done);

    /// Runs a non-idempotent request at the home node of its claim shard.
    void run_request(wire::service_request request,
                     std::function<void(wire::service_response)> done);

    /// Handles a message from a peer.
    void on_peer_message(wire::peer_message message);

    /// Called when the link to a peer has opened or closed.
    void on_link_changed(const base::node_id& peer, bool open);

    /// Returns true if no claimed request and no call to a peer is pending on
    /// this node. Must be called on the control thread.
    bool is_idle() const {
        return claim_driver_.pending_count() == 0 &&
               peer_rpc_client_.pending_count() == 0;
    }

    /// Passes the state of the node, as JSON, to `done`.
    void collect_status(std::function<void(std::string)> done);

    /// Withdraws this node from the list of entries and hands its home roles
    /// over to other nodes. Calls `done` once no claim is pending and callers
    /// no longer hold a list that contains this node.
    void drain(std::function<void()> done);

private:
    void tick();
    void send_heartbeat();
    void fetch_instances();
    void on_instance_list(const wire::instance_list& page);
    void on_members_changed();
    void on_config_changed();
    void update_state();
    void publish_view();
    bool is_isolated() const;
    void finish_drain();

    void handle(wire::heartbeat message);
    void handle(wire::document_request message);
    void handle(wire::document_offer message);
    void handle(wire::call message);
    void handle(wire::reply message);
    void handle(wire::sample_report message);
    void handle(wire::sample_ack message);
    void handle(wire::cancel_streams message);

    void serve(const wire::call& call, const wire::open_step& body);
    void serve(const wire::call& call, const wire::pull_step& body);
    void serve(const wire::call& call, const wire::learn_version& body);
    void serve(const wire::call& call, const wire::run_request& body);
    void serve(const wire::call& call, const wire::place_sample& body);
    std::function<void(wire::reply_body)>
    make_reply_function(const wire::call& call);

    void open_at_home(wire::open_step message,
                      std::function<void(wire::step_response)> done);
    void pull_at_home(wire::pull_step message,
                      std::function<void(wire::pull_response)> done);
    void run_at_home(wire::service_request request,
                     std::function<void(wire::service_response)> done);
    void call_at(base::millis time, std::function<void()> callback);
    void broadcast_version(const wire::learn_version& message,
                           std::function<void(wire::version_response)> done);

    control_dependencies dependencies_;
    base::node_id self_;
    std::uint64_t incarnation_;
    boost::asio::steady_timer timer_;
    wire::node_state state_ = wire::node_state::starting;
    cluster::member_table members_;
    peer_rpc_client peer_rpc_client_;
    config_watcher config_watcher_;
    claim_driver claim_driver_;
    sample_driver sample_driver_;
    wire::instance_list instance_list_;
    std::uint64_t generation_ = 0;
    int open_links_ = 0;
    base::millis started_at_;
    base::millis heartbeat_at_ = 0;
    base::millis instances_fetched_at_ = 0;
    bool fetching_instances_ = false;
    base::millis drain_until_ = 0;
    std::function<void()> on_drained_;
};

} // namespace hibiscus::node
