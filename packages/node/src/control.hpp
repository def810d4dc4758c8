#pragma once

#include "claim_runner.hpp"
#include "config_follower.hpp"
#include "hibiscus/node/settings.hpp"
#include "hibiscus/platform/instance_client.hpp"
#include "sample_runner.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace hibiscus::node {

/// What a control is built on. All of it outlives the control.
struct control_parts {
    const settings& config;
    boost::asio::io_context& io;
    base::clock clock;
    decision_log& lines;
    telemetry::metrics& counters;
    shared_view& shared;
    net::peer_mesh& mesh;
    platform::log_client& log;
    platform::instance_client& instances;
    service_gateway& services;
    engine_gateway& engines;
};

/// Holds the control state of a node and is the only one to change it. Its
/// public functions may be called by any thread; they hand over to the thread
/// of the context and return at once.
class control {
public:
    /// Constructs the control of a node that has just started.
    explicit control(const control_parts& parts);

    /// Starts to follow the log, the instance list and the peers.
    void start();

    /// Opens a step at the trainer's home.
    void open_step(wire::open_step message,
                   std::function<void(wire::step_answer)> done);

    /// Pulls at the trainer's home.
    void pull(wire::pull_step message,
              std::function<void(wire::pull_answer)> done);

    /// Publishes a version. The answer comes when every node that is heard
    /// knows it, or when no pull of before can still wait.
    void publish(wire::learn_version message,
                 std::function<void(wire::version_answer)> done);

    /// Runs a non-idempotent request at the home of its key.
    void run(wire::service_request request,
             std::function<void(wire::answer)> done);

    /// Takes a message of a peer.
    void received(wire::peer_message message);

    /// Notes that the link to a peer opened or closed.
    void link_changed(const base::node_id& peer, bool open);

    /// Returns true if no request waits for anything here. For the control
    /// thread only.
    bool idle() const {
        return claims_.pending() == 0 && calls_.pending() == 0;
    }

    /// Writes the node's state as JSON.
    void status(std::function<void(std::string)> done);

    /// Leaves the list of entries, hands its homes over, and calls `done`
    /// when nothing is left to finish.
    void drain(std::function<void()> done);

private:
    void tick();
    void heartbeat();
    void fetch_instances();
    void took(const wire::instance_page& page);
    void members_changed();
    void config_changed();
    void refresh_state();
    void publish_view();
    bool isolated() const;
    void finish_drain();

    void handle(wire::heartbeat message);
    void handle(wire::document_want message);
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
    std::function<void(wire::reply_body)> replier(const wire::call& call);

    void open_here_or_there(wire::open_step message,
                            std::function<void(wire::step_answer)> done);
    void pull_here_or_there(wire::pull_step message,
                            std::function<void(wire::pull_answer)> done);
    void run_here_or_there(wire::service_request request,
                           std::function<void(wire::answer)> done);
    void at_time(base::millis when, std::function<void()> event);
    void tell_version(const wire::learn_version& message,
                      std::function<void(wire::version_answer)> done);

    control_parts parts_;
    base::node_id self_;
    std::uint64_t incarnation_;
    boost::asio::steady_timer timer_;
    wire::node_state state_ = wire::node_state::starting;
    cluster::member_table members_;
    peer_calls calls_;
    config_follower config_;
    claim_runner claims_;
    sample_runner samples_;
    wire::instance_page listed_;
    std::uint64_t generation_ = 0;
    int links_ = 0;
    base::millis started_at_;
    base::millis beat_at_ = 0;
    base::millis listed_at_ = 0;
    bool listing_ = false;
    base::millis drain_until_ = 0;
    std::function<void()> drained_;
};

} // namespace hibiscus::node
