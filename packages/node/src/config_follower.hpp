#pragma once

#include "decision_log.hpp"
#include "hibiscus/document/config_fold.hpp"
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
class config_follower {
public:
    /// Constructs a follower that calls `changed` after each change.
    config_follower(base::node_id self, boost::asio::io_context& control,
                    platform::log_client& log, net::peer_mesh& mesh,
                    decision_log& lines, telemetry::metrics& counters,
                    base::clock clock, std::function<void()> changed);

    /// Starts to read.
    void start();

    /// Repeats the accepted document in the stream if retention may drop what
    /// a fresh node needs. `home` is true at the one node that does so first.
    void tick(bool home);

    /// Notes the revision that a peer has in force; asks for a newer one.
    void hear(const base::node_id& peer, wire::log_offset revision);

    /// Answers a peer that asks for the document.
    void wanted(const wire::document_want& message);

    /// Takes a document from a peer, if it is newer.
    void offered(const wire::document_offer& message);

    /// Returns the document in force, or null before the first.
    const document::revision* in_force() const { return fold_.in_force(); }

    /// Returns the time of the last answer of the log, by the monotonic
    /// clock; 0 before the first.
    base::millis log_heard_at() const { return log_heard_at_; }

private:
    void read();
    void took(const platform::read_result& result);
    void apply(const wire::log_page& page);
    void note_change();
    bool repeat_due(bool home) const;
    void repeat();

    base::node_id self_;
    boost::asio::io_context& control_;
    platform::log_client& log_;
    net::peer_mesh& mesh_;
    decision_log& lines_;
    telemetry::metrics& counters_;
    base::clock clock_;
    std::function<void()> changed_;
    boost::asio::steady_timer retry_;
    document::config_fold fold_;
    wire::log_offset announced_ = 0;
    /// What the last page said of the stream.
    wire::log_offset first_ = 0;
    base::millis uncovered_since_ = 0;
    wire::log_offset covered_ = 0;
    base::millis covered_at_ = 0;
    base::millis repeated_at_ = 0;
    base::millis log_heard_at_ = 0;
    base::millis asked_at_ = 0;
};

} // namespace hibiscus::node
