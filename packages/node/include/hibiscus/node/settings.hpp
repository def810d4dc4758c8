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

/// The settings of one hibiscusd, from its YAML file. They name what differs
/// between instances; what the operators decide is in their document.
struct settings {
    base::node_id node;
    base::zone_id zone;
    base::endpoint listen_callers;
    base::endpoint listen_peers;
    base::endpoint platform_log;
    base::endpoint platform_instances;
    base::endpoint platform_weights;
    /// Threads that handle traffic.
    int traffic_threads = 2;
    std::size_t body_bytes = 4 * 1024 * 1024;
    std::size_t header_bytes = 16 * 1024;
    int connections = 4096;
    /// Non-idempotent requests of callers that are in work at a time; more
    /// are refused at once.
    int non_idempotent_in_work = 2048;
    /// The number of shards of non-idempotent keys; the same on all nodes.
    int claim_shards = 16;
    /// The least time between two appends of claims to a shard, in ms.
    base::millis claim_window_ms = 10;
    /// How often peers hear of this node, in ms.
    base::millis heartbeat_ms = 250;
    /// A peer that is silent for so long is gone, in ms.
    base::millis member_timeout_ms = 1500;
    /// The lowest level of log lines: "debug", "info", "warn" or "error".
    std::string log_level = "info";
};

/// Returns the settings in the YAML file `path`, or all of its errors.
base::result<settings, setting_errors> load_settings(const std::string& path);

} // namespace hibiscus::node
