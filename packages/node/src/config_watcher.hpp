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

/// Tracks the document in force. Applies the records of the `config` stream and
/// exchanges the document with peers, so that nodes can obtain it while the log
/// is unavailable. Must be used on the control thread only.
class config_watcher {
public:
    /// Constructs a watcher that calls `on_change` each time another revision
    /// comes into force.
    config_watcher(base::node_id self, boost::asio::io_context& control_io,
                   platform::log_client& log, net::peer_mesh& mesh,
                   event_log& logger, telemetry::metrics& counters,
                   base::clock clock, std::function<void()> on_change);

    /// Starts to read the `config` stream.
    void start();

    /// Appends a snapshot of the accepted document to the stream if retention
    /// may soon drop records that a newly started node needs. `is_home` is true
    /// on the one node that does so without delay.
    void tick(bool is_home);

    /// Called with the revision that a peer has in force. Requests the document
    /// from the peer if that revision is newer.
    void on_peer_revision(const base::node_id& peer, wire::log_offset revision);

    /// Sends the document in force to the peer that requested it, if it is
    /// newer than the peer's.
    void on_document_request(const wire::document_request& message);

    /// Adopts the document that a peer has sent, if it is newer.
    void on_document_offer(const wire::document_offer& message);

    /// Returns the document in force, or null if there is none yet.
    const document::revision* in_force() const {
        return state_machine_.in_force();
    }

    /// Returns the monotonic time of the last successful read of the log, or 0
    /// if there was none.
    base::millis log_responded_at() const { return log_responded_at_; }

private:
    void read();
    void on_read_result(const platform::read_result& result);
    void apply_page(const wire::log_page& page);
    void notify_if_changed();
    bool is_snapshot_due(bool is_home) const;
    void append_snapshot();

    base::node_id self_;
    boost::asio::io_context& control_io_;
    platform::log_client& log_;
    net::peer_mesh& mesh_;
    event_log& logger_;
    telemetry::metrics& counters_;
    base::clock clock_;
    std::function<void()> on_change_;
    boost::asio::steady_timer retry_timer_;
    document::config_state_machine state_machine_;
    wire::log_offset announced_revision_ = 0;
    /// Offset of the first record that the log retains, from the last page.
    wire::log_offset first_offset_ = 0;
    /// Last time at which the log retained all records from the newest snapshot
    /// on.
    base::millis snapshot_retained_at_ = 0;
    wire::log_offset snapshot_offset_ = 0;
    base::millis snapshot_advanced_at_ = 0;
    base::millis snapshot_appended_at_ = 0;
    base::millis log_responded_at_ = 0;
    base::millis document_requested_at_ = 0;
};

} // namespace hibiscus::node
