#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/base/ids.hpp"
#include "hibiscus/base/result.hpp"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace hibiscus::node {

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

/// What is wrong with a settings file.
enum class setting_fault {
    unreadable,  ///< The file cannot be read.
    not_yaml,    ///< The file is not YAML.
    missing,     ///< A key that is needed is not there.
    unknown_key, ///< A key that does not exist.
    wrong_type,  ///< A value of another type was expected.
    out_of_range ///< A number is too small or too large.
};

/// One error of a settings file.
struct setting_error {
    setting_fault what = setting_fault::unreadable;
    std::string file;
    /// The line, from 1; 0 if it cannot be told.
    int line = 0;
    /// The key with those around it: "listen.callers".
    std::string key;
    std::string expected;
};

/// All errors of a settings file.
using setting_errors = std::vector<setting_error>;

/// Returns the settings in the YAML file `path`, or all of its errors.
base::result<settings, setting_errors> load_settings(const std::string& path);

/// Returns an error in one line, for people.
std::string to_string(const setting_error& error);

} // namespace hibiscus::node

namespace hibiscus::base {

template <>
struct enum_names<node::setting_fault> {
    static constexpr std::array<enum_name<node::setting_fault>, 6> table{{
        {node::setting_fault::unreadable, "unreadable"},
        {node::setting_fault::not_yaml, "not_yaml"},
        {node::setting_fault::missing, "missing"},
        {node::setting_fault::unknown_key, "unknown_key"},
        {node::setting_fault::wrong_type, "wrong_type"},
        {node::setting_fault::out_of_range, "out_of_range"},
    }};
};

} // namespace hibiscus::base
