#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/ids.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/settings/errors.hpp"

#include <cstddef>
#include <string>

namespace hibiscus::node {

using hibiscus::settings::setting_error;
using hibiscus::settings::setting_errors;
using hibiscus::settings::setting_fault;

/// Settings of one hibiscusd process, read from its YAML file. They hold the
/// values that differ between instances; the policies that operators set for
/// the whole system are in the document.
struct settings {
    base::node_id node;
    base::zone_id zone;
    base::endpoint listen_callers;
    base::endpoint listen_peers;
    base::endpoint platform_log;
    base::endpoint platform_instances;
    base::endpoint platform_weights;
    /// Number of threads that handle requests of callers.
    int traffic_threads = 2;
    std::size_t body_bytes = 4 * 1024 * 1024;
    std::size_t header_bytes = 16 * 1024;
    int connections = 4096;
    /// Maximum number of non-idempotent requests in flight; further ones are
    /// rejected at once.
    int non_idempotent_in_work = 2048;
    /// Number of shards of non-idempotent keys; must be the same on all nodes.
    int claim_shards = 16;
    /// Minimum interval between two appends of claims to the log stream of a
    /// shard, in ms. Not related to `claim_window_ms` of the document, which is
    /// the retention of claims.
    base::millis claim_window_ms = 10;
    /// Interval between heartbeats to the peers, in ms.
    base::millis heartbeat_ms = 250;
    /// Time without a heartbeat after which a peer is removed, in ms.
    base::millis member_timeout_ms = 1500;
    /// Minimum level of log lines: "debug", "info", "warn" or "error".
    std::string log_level = "info";
};

/// Loads the settings from the YAML file `path`. Returns all errors of the file
/// if it is invalid.
base::result<settings, setting_errors> load_settings(const std::string& path);

} // namespace hibiscus::node
