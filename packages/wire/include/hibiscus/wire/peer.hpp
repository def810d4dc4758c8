#pragma once

#include "hibiscus/wire/engine.hpp"
#include "hibiscus/wire/platform.hpp"

#include <optional>
#include <variant>

namespace hibiscus::wire {

/// What an entry instance takes on.
enum class node_state {
    starting, ///< It lacks the configuration and takes no requests.
    ready,    ///< It takes requests and is home for its share.
    isolated, ///< It sees neither the log nor most peers.
    draining  ///< It finishes what it has and is home for nothing.
};

/// The newest version of a trainer that a node knows.
struct trainer_version {
    base::trainer_id trainer;
    weight_version version = 0;
};

/// The streams of one trainer.
struct trainer_streams {
    base::trainer_id trainer;
    int admitted = 0;
};

/// The load of an engine as its home knows it.
struct engine_status {
    base::engine_id engine;
    /// Streams that its home has admitted and not seen end.
    int admitted = 0;
    int slots = 0;
    bool healthy = false;
    std::vector<served_version> serving;
    /// False if its home cannot speak to it; another node may.
    bool reachable = true;
    /// The admitted streams by trainer; one without any is left out.
    std::vector<trainer_streams> streams;
};

/// Says that a node is alive and what it knows. Sent to each peer.
struct heartbeat {
    base::node_id node;
    /// Grows with each start of the node.
    std::uint64_t incarnation = 0;
    base::zone_id zone;
    std::string address;
    std::string peer_address;
    node_state state = node_state::starting;
    /// The revision of the document that the node has in force.
    log_offset revision = 0;
    std::vector<trainer_version> versions;
    std::vector<engine_status> engines;
};

/// Asks a peer for the document that it has in force.
struct document_request {
    base::node_id from;
    log_offset revision = 0;
};

/// Hands an accepted document to a peer.
struct document_offer {
    log_offset revision = 0;
    std::string document;
};

/// Opens a step at the trainer's home.
struct open_step {
    base::trainer_id trainer;
    step_number step = 0;
    step_request request;
};

/// Pulls at the trainer's home.
struct pull_step {
    base::trainer_id trainer;
    step_number step = 0;
    pull_request request;
};

/// Tells a node the newest version of a trainer.
struct learn_version {
    base::trainer_id trainer;
    weight_version version = 0;
};

/// Asks the home of a request's key to run it.
struct run_request {
    service_request request;
};

/// Asks an engine's home to generate a slot.
struct place_sample {
    base::engine_id engine;
    /// The trainer's home, which gets the reports.
    base::node_id home;
    stream_start start;
};

/// The answer to place_sample.
struct place_response {
    outcome result = outcome::unknown;
    reason why = reason::none;
    base::millis retry_after_ms = 0;
};

/// What a call asks for.
using call_body = std::variant<open_step, pull_step, learn_version, run_request,
                               place_sample>;

/// What a reply says.
using reply_body = std::variant<step_response, pull_response, version_response,
                                service_response, place_response>;

/// A call from one node to another; it has one reply.
struct call {
    std::uint64_t id = 0;
    /// The node that gets the reply.
    base::node_id from;
    base::millis deadline_ms = 0;
    call_body body;
};

/// The reply to the call of the same id.
struct reply {
    std::uint64_t id = 0;
    reply_body body;
};

/// The state of one stream, from the engine's home to the trainer's.
struct stream_report {
    base::engine_id engine;
    base::stream_id stream;
    stream_state state = stream_state::missing;
    /// The chunks of a stream that is done; else empty.
    std::vector<chunk> chunks;
    /// The oldest version among the chunks so far, if there are any.
    std::optional<weight_version> oldest;
    std::uint32_t produced = 0;
};

/// States of streams. Repeated until acknowledged or cancelled.
struct sample_report {
    base::node_id from;
    std::vector<stream_report> streams;
    /// True if the trainer's former home passes it on.
    bool forwarded = false;
};

/// Acknowledges that reports of finished streams arrived.
struct sample_ack {
    std::vector<base::stream_id> streams;
};

/// Tells an engine's home that streams are no longer wanted.
struct cancel_streams {
    base::engine_id engine;
    std::vector<base::stream_id> streams;
    /// The trainer's home that no longer wants them.
    base::node_id home;
};

/// Everything that nodes say to each other.
using peer_message =
    std::variant<heartbeat, document_request, document_offer, call, reply,
                 sample_report, sample_ack, cancel_streams>;

/// The version of the peer protocol; a message of another one is refused.
constexpr int peer_protocol_version = 1;

} // namespace hibiscus::wire

namespace hibiscus::base {

template <>
struct enum_names<wire::node_state> {
    static constexpr std::array<enum_name<wire::node_state>, 4> table{{
        {wire::node_state::starting, "starting"},
        {wire::node_state::ready, "ready"},
        {wire::node_state::isolated, "isolated"},
        {wire::node_state::draining, "draining"},
    }};
};

} // namespace hibiscus::base
