#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/features.hpp"
#include "hibiscus/base/ids.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/settings/errors.hpp"

#include <cstddef>
#include <string>

namespace hibiscus::entry {

/// The settings of one entry node, from its YAML file.
struct node_settings {
    base::node_id node;
    base::zone_id zone;
    base::endpoint listen_callers;
    base::endpoint listen_readiness;
    base::endpoint listen_directory;
    base::endpoint listen_metrics;
    base::endpoint store;
    /// The number of partitions of a topic.
    int partitions_per_topic = 24;
    std::size_t max_record_bytes = 262144;
    std::size_t max_append_bytes = 2097152;
    /// The share of a processor's core that this node has.
    double cpu_share = 1;
    /// Two holders must not order the same server within this time, in ms.
    base::millis order_lease_ms = 3000;
    /// Servers refuse orders with a lower fence than one they have seen.
    bool servers_check_fences = false;
    /// How long a server serves on after it said that it leaves, in ms.
    base::millis server_drain_ms = 2000;
    /// How long results stay readable after a submission, in ms.
    base::millis result_retention_ms = 120000;
    /// How much longer the records of an ended job are kept, in ms: its caller
    /// may still repeat the end, or read a little late.
    base::millis retention_margin_ms = 60000;
    /// The time from SIGTERM to SIGKILL, in ms.
    base::millis shutdown_grace_ms = 8000;
    /// Within this time of its end, no item of a job may start, in ms.
    base::millis cancel_deadline_ms = 3000;
    /// What is switched off takes effect at the start of the process.
    base::feature_set features;
};

/// Returns the settings in the YAML file `path`, or all of its errors.
base::result<node_settings, settings::setting_errors>
load_node_settings(const std::string& path);

} // namespace hibiscus::entry
