#pragma once

#include "hibiscus/wire/samples.hpp"

namespace hibiscus::wire {

/// Starts a stream at an engine, or finds the one of that id.
struct stream_start {
    base::stream_id stream;
    base::trainer_id trainer;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    /// Higher goes first.
    int priority = 0;
    std::uint64_t seed = 0;
};

/// Asks for the chunks of one stream from `from` on.
struct stream_cursor {
    base::stream_id stream;
    std::uint32_t from = 0;
};

/// Asks for news of streams; waits up to `wait_ms` for the first.
struct engine_poll {
    std::vector<stream_cursor> streams;
    base::millis wait_ms = 0;
};

/// What became of a stream.
enum class stream_state { queued, running, done, missing };

/// News of one stream.
struct stream_update {
    base::stream_id stream;
    stream_state state = stream_state::missing;
    std::vector<chunk> chunks;
};

/// The version that an engine serves for a trainer.
struct served_version {
    base::trainer_id trainer;
    weight_version version = 0;
};

/// An engine's answer to engine_poll. The load may lag behind.
struct engine_poll_response {
    std::vector<stream_update> streams;
    int running = 0;
    int queued = 0;
    int slots = 0;
    std::vector<served_version> serving;
};

/// The number that orders the homes of an engine and their orders.
struct fencing_token {
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

/// Orders an engine to serve a version from now on.
struct version_order {
    base::trainer_id trainer;
    weight_version version = 0;
    fencing_token number;
};

/// What an engine makes of an order.
enum class order_result { done, fenced, failed };

/// The answer to a version_order.
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
