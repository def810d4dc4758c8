#pragma once

#include "hibiscus/wire/samples.hpp"

namespace hibiscus::wire {

/// Starts a stream at an engine. Does nothing if a stream with this id exists.
struct stream_start {
    base::stream_id stream;
    base::trainer_id trainer;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    /// Engines run streams of a higher priority first.
    int priority = 0;
    std::uint64_t seed = 0;
};

/// Asks for the chunks of one stream with sequence numbers `from` and above.
struct stream_cursor {
    base::stream_id stream;
    std::uint32_t from = 0;
};

/// Asks an engine for updates of streams. Waits up to `wait_ms` for the first
/// update.
struct engine_poll {
    std::vector<stream_cursor> streams;
    base::millis wait_ms = 0;
};

/// The state of a stream at an engine; `missing` if the engine has no stream
/// with the id.
enum class stream_state { queued, running, done, missing };

/// The state and the new chunks of one stream.
struct stream_update {
    base::stream_id stream;
    stream_state state = stream_state::missing;
    std::vector<chunk> chunks;
};

/// The weight version that an engine serves for a trainer.
struct served_version {
    base::trainer_id trainer;
    weight_version version = 0;
};

/// The response to engine_poll. The load figures may be stale.
struct engine_poll_response {
    std::vector<stream_update> streams;
    int running = 0;
    int queued = 0;
    /// The number of streams that the engine runs at a time.
    int slots = 0;
    std::vector<served_version> serving;
};

/// Orders the version orders of an engine: first by the epoch of the home node
/// that sent them, then by its sequence number.
struct fencing_token {
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

/// Commands an engine to serve a weight version.
struct version_order {
    base::trainer_id trainer;
    weight_version version = 0;
    /// The fencing token of this order.
    fencing_token number;
};

/// The result of a version_order; `fenced` if the engine rejected the order
/// because of an old fencing token.
enum class order_result { done, fenced, failed };

/// The response to a version_order.
struct order_response {
    order_result verdict = order_result::failed;
};

} // namespace hibiscus::wire

namespace hibiscus::base {

template <>
struct enum_names<wire::stream_state> {
    static constexpr std::array<enum_name<wire::stream_state>, 4> table{{
        {wire::stream_state::queued, "queued"},
        {wire::stream_state::running, "running"},
        {wire::stream_state::done, "done"},
        {wire::stream_state::missing, "missing"},
    }};
};

template <>
struct enum_names<wire::order_result> {
    static constexpr std::array<enum_name<wire::order_result>, 3> table{{
        {wire::order_result::done, "done"},
        {wire::order_result::fenced, "fenced"},
        {wire::order_result::failed, "failed"},
    }};
};

} // namespace hibiscus::base
