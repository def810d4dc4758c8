#pragma once

#include "hibiscus/wire/engine.hpp"
#include "hibiscus/wire/platform.hpp"

#include <optional>
#include <variant>

namespace hibiscus::wire {

/// The state of a node (an entry instance), which decides what work it accepts.
enum class node_state {
    starting, ///< It has no configuration yet and accepts no requests.
    ready, ///< It accepts requests and is the home node of its share of keys.
    isolated, ///< It reaches neither the log nor most of its peers.
    draining  ///< It finishes its requests and is the home node of no key.
};

/// The newest weight version of a trainer that a node knows.
struct trainer_version {
    base::trainer_id trainer;
    weight_version version = 0;
};

/// The number of admitted streams of one trainer.
struct trainer_streams {
    base::trainer_id trainer;
    int admitted = 0;
};

/// The load of an engine as its home node knows it.
struct engine_status {
    base::engine_id engine;
    /// Streams that the home node has admitted and that have not ended.
    int admitted = 0;
    int slots = 0;
    bool healthy = false;
    std::vector<served_version> serving;
    /// False if the home node can't reach it. Another node may reach it.
    bool reachable = true;
    /// The admitted streams by trainer. Trainers without any are omitted.
    std::vector<trainer_streams> streams;
};

/// Sent to each peer at regular intervals, with the state of the sender.
struct heartbeat {
    base::node_id node;
    /// Increases with each start of the node.
    std::uint64_t incarnation = 0;
    base::zone_id zone;
    std::string address;
    std::string peer_address;
    node_state state = node_state::starting;
    /// The revision of the document in force at the node.
    log_offset revision = 0;
    std::vector<trainer_version> versions;
    std::vector<engine_status> engines;
};

/// Asks a peer for its document in force.
struct document_request {
    base::node_id from;
    log_offset revision = 0;
};

/// Sends an accepted document to a peer.
struct document_offer {
    log_offset revision = 0;
    std::string document;
};

/// Opens a step at the trainer's home node.
struct open_step {
    base::trainer_id trainer;
    step_number step = 0;
    step_request request;
};

/// Pulls finished samples from the trainer's home node.
struct pull_step {
    base::trainer_id trainer;
    step_number step = 0;
    pull_request request;
};

/// Announces the newest weight version of a trainer to a node.
struct learn_version {
    base::trainer_id trainer;
    weight_version version = 0;
};

/// Asks the home node of a request's key to run the request.
struct run_request {
    service_request request;
};

/// Asks an engine's home node to generate a sample.
struct place_sample {
    base::engine_id engine;
    /// The trainer's home node, which receives the reports.
    base::node_id home;
    stream_start start;
};

/// The response to place_sample.
struct place_response {
    outcome result = outcome::unknown;
    reason why = reason::none;
    base::millis retry_after_ms = 0;
};

/// The request that a call carries.
using call_body = std::variant<open_step, pull_step, learn_version, run_request,
                               place_sample>;

/// The response that a reply carries.
using reply_body = std::variant<step_response, pull_response, version_response,
                                service_response, place_response>;

/// A request from one node to another. The receiver sends one reply.
struct call {
    std::uint64_t id = 0;
    /// The node that receives the reply.
    base::node_id from;
    base::millis deadline_ms = 0;
    call_body body;
};

/// The reply to the call of the same id.
struct reply {
    std::uint64_t id = 0;
    reply_body body;
};

/// The state of one stream. The engine's home node sends it to the trainer's
/// home node.
struct stream_report {
    base::engine_id engine;
    base::stream_id stream;
    stream_state state = stream_state::missing;
    /// The chunks of the stream if it is done, otherwise empty.
    std::vector<chunk> chunks;
    /// The oldest weight version among the chunks so far, if there are any.
    std::optional<weight_version> oldest;
    std::uint32_t produced = 0;
};

/// Reports the states of streams. Resent until the streams are acknowledged or
/// cancelled.
struct sample_report {
    base::node_id from;
    std::vector<stream_report> streams;
    /// True if a former home node of the trainer forwarded the report.
    bool forwarded = false;
};

/// Acknowledges reports of finished streams.
struct sample_ack {
    std::vector<base::stream_id> streams;
};

/// Asks an engine's home node to cancel streams.
struct cancel_streams {
    base::engine_id engine;
    std::vector<base::stream_id> streams;
    /// The trainer's home node, which sends this request.
    base::node_id home;
};

/// Any message between two nodes.
using peer_message =
    std::variant<heartbeat, document_request, document_offer, call, reply,
                 sample_report, sample_ack, cancel_streams>;

/// The version of the peer protocol. Messages of other versions are rejected.
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
