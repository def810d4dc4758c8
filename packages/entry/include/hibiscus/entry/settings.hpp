#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/features.hpp"
#include "hibiscus/base/ids.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/membership/fleet_load.hpp"
#include "hibiscus/settings/errors.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace hibiscus::entry {

/// The calls to the platform's API of which one node at a time is in charge.
struct duty_settings {
    base::endpoint address;
    bool usage_reporting = false;
    bool autoscaling = false;
    /// Maximum number of calls per second from all nodes together.
    double max_calls_per_s = 50;
};

/// Settings of one entry node, read from its YAML file.
struct node_settings {
    base::node_id node;
    base::zone_id zone;
    base::endpoint listen_callers;
    base::endpoint listen_readiness;
    base::endpoint listen_directory;
    base::endpoint listen_metrics;
    base::endpoint store;
    /// Number of partitions per topic.
    int partitions_per_topic = 24;
    std::size_t max_record_bytes = 262144;
    std::size_t max_append_bytes = 2097152;
    /// What the store can carry for all nodes together.
    membership::store_capacity store_capacity;
    /// Interval between two renewals of a server's registration, in ms.
    base::millis server_renewal_ms = 1200;
    /// CPU share of this node, in cores.
    double cpu_share = 1;
    /// Memory of this process, in MB (10^6 bytes). What is held for callers is
    /// bounded so that the rest of the node has room beside it. 0 in the file
    /// stands for this default.
    std::size_t memory_mb = 120;
    /// Number of descriptors that this process may open; 0 if only the limit of
    /// the system applies.
    std::size_t max_descriptors = 0;
    /// Minimum time between load orders of two successive job owners to the
    /// same server, in ms.
    base::millis order_lease_ms = 3000;
    /// Whether servers reject orders with a lower fencing token than the
    /// highest they have seen.
    bool servers_check_fences = false;
    /// Time for which a server still accepts requests after it has announced
    /// that it is draining, in ms.
    base::millis server_drain_ms = 2000;
    /// Time for which results stay readable after the submission, in ms.
    base::millis result_retention_ms = 120000;
    /// Additional time for which records of an ended job are kept, in ms. The
    /// caller may still repeat the end of the job, or read a little late.
    base::millis retention_margin_ms = 60000;
    /// Time from SIGTERM to SIGKILL, in ms.
    base::millis shutdown_grace_ms = 8000;
    /// Maximum time from the end of a job until the node starts no more of its
    /// items, in ms.
    base::millis cancel_deadline_ms = 3000;
    /// Maximum time in which a new configuration must take effect, in ms.
    base::millis configuration_deadline_ms = 3000;
    /// Whether a node that can't show that its configuration is newer than
    /// `revocation_deadline_ms` rejects all API keys.
    bool strict_revocation = false;
    base::millis revocation_deadline_ms = 5000;
    /// A server that warms up must not get more requests in a second than it
    /// tolerates times `warm_up_overage`, and `warm_up_slack` more. 0 if there
    /// is no such bound.
    double warm_up_overage = 0;
    double warm_up_slack = 0;
    /// Not set if there are no duties.
    std::optional<duty_settings> duties;
    /// Length of the windows for which usage is reported, and the time from the
    /// end of a window until its report is due, in ms.
    base::millis usage_window_ms = 5000;
    base::millis usage_due_ms = 10000;
    /// Number of repeats at other servers for each plain request while a
    /// service has no room to spare.
    double retry_ratio = 0.1;
    /// The part of a service's room that reward calls keep when callers press.
    double reward_share = 0.4;
    /// Enabled features. Changes take effect when the process restarts.
    base::feature_set features;
};

/// Reads the settings from the YAML file `path`. Returns all errors if it is
/// invalid.
base::result<node_settings, settings::setting_errors>
load_node_settings(const std::string& path);

} // namespace hibiscus::entry
