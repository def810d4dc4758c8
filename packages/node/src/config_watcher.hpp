#pragma once

#include "event_log.hpp"
#include "hibiscus/document/config_state_machine.hpp"
#include "hibiscus/net/peer_mesh.hpp"
#include "hibiscus/platform/log_client.hpp"
#include "hibiscus/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace hibiscus::node {

/// Keeps the document in force: folds the `config` stream, and gives to and
/// takes from peers what the stream cannot give during an outage. Lives on
/// the control thread.
class config_watcher {
public:
    /// Constructs a follower that calls `changed` after each change.
    config_watcher(base::node_id self, boost::asio::io_context& control,
                   platform::log_client& log, net::peer_mesh& mesh,
                   event_log& lines, telemetry::metrics& counters,
                   base::clock clock, std::function<void()> changed);

    /// Starts to read.
    void start();

    /// Repeats the accepted document in the stream if retention may drop what
    /// a fresh node needs. `home` is true at the one node that does so first.
    void tick(bool home);

    /// Notes the revision that a peer has in force; asks for a newer one.
    void on_peer_revision(const base::node_id& peer, wire::log_offset revision);

    /// Answers a peer that asks for the document.
    void on_document_request(const wire::document_request& message);

    /// Takes a document from a peer, if it is newer.
    void on_document_offer(const wire::document_offer& message);

    /// Returns the document in force, or null before the first.
    const document::revision* in_force() const {
        return state_machine_.in_force();
    }

    /// Returns the time of the last answer of the log, by the monotonic
    /// clock; 0 before the first.
    base::millis log_responded_at() const { return log_responded_at_; }

private:
    void read();
    void on_read_result(const platform::read_result& result);
    void apply_page(const wire::log_page& page);
    void notify_if_changed();
    bool is_snapshot_due(bool home) const;
    void append_snapshot();

    base::node_id self_;
    boost::asio::io_context& control_;
    platform::log_client& log_;
    net::peer_mesh& mesh_;
    event_log& logger_;
    telemetry::metrics& counters_;
    base::clock clock_;
    std::function<void()> on_change_;
    boost::asio::steady_timer retry_;
    document::config_state_machine state_machine_;
    wire::log_offset announced_revision_ = 0;
    /// What the last page said of the stream.
    wire::log_offset first_offset_ = 0;
    base::millis last_covered_at_ = 0;
    wire::log_offset snapshot_offset_ = 0;
    base::millis snapshot_advanced_at_ = 0;
    base::millis snapshot_appended_at_ = 0;
    base::millis log_responded_at_ = 0;
    base::millis requested_at_ = 0;
};

} // namespace hibiscus::node
