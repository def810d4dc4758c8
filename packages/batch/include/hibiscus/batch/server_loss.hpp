#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/batch/records.hpp"

#include <algorithm>
#include <optional>

namespace hibiscus::batch {

/// A server process that may have ended while it had a request: its connection
/// broke off, or nothing came from it any more.
struct server_loss {
    server_process process;
    /// The service of the server, and the number of servers of the service that
    /// get requests.
    samplers::service_name service = {};
    int server_count = 0;
    /// How far the run had come when something last came from the server.
    run_progress progress = {};
    /// Time from then until the loss was noticed, in ms.
    base::millis silence_ms = 0;
    /// Set if the server fell silent without a response to the request: when
    /// something last came from it, to whatever request. It may have ended
    /// before the request was sent.
    std::optional<base::millis> silent_since = {};
    /// Whether the server had begun to respond to the request.
    bool has_response = false;
    /// For how long nothing had come from the process when the request was
    /// sent, in ms.
    base::millis quiet_ms = 0;

    /// Whether the server had fallen silent before the request was sent, and
    /// nothing has come from it since, as far as the sender knows.
    bool is_unseen = false;

    /// Takes the last `ms` of the run for silence.
    void exclude_silence(base::millis ms) {
        silence_ms = std::min(ms, progress.run_ms);
        progress.run_ms -= silence_ms;
    }
};

} // namespace hibiscus::batch
