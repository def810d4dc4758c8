#pragma once

#include "hibiscus/membership/fleet_load.hpp"
#include "hibiscus/membership/node_table.hpp"
#include "hibiscus/samplers/sampler_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Encoding of the records of the node registrations and of the fleet view.
namespace hibiscus::membership {

/// The renewal of a node's registration.
struct node_renewal {
    node_entry entry;
    /// The node's estimate of the time of day, in ms since the Unix epoch; 0 if
    /// unknown.
    base::millis true_time = 0;
};

std::string encode_node(const node_renewal& renewal);

/// Returns std::nullopt if the record is malformed or has no addresses.
std::optional<node_renewal> decode_node(const std::string& value);

/// Encodes a node of the fleet view, without the renewal interval. Each node
/// decodes the records of all nodes, so they have no names of fields.
std::string encode_listed_node(const node_entry& node);
std::optional<node_entry> decode_listed_node(const std::string& value);

/// The number of servers of each service that are not draining, by availability
/// zone.
using server_counts =
    std::map<samplers::service_name, std::map<base::zone_id, int>>;

using service_levels = std::map<std::string, admission::share_levels>;

/// The record in which the publisher shows that the fleet view is current.
struct fleet_status {
    /// The node that publishes, and the number of its status records so far.
    std::string publisher;
    std::int64_t sequence = 0;
    view_source source = view_source::fleet_view;
    int nodes = 0;
    /// How old the publisher's view of the configuration was, in ms.
    base::millis configuration_age_ms = 0;
    server_counts servers;
    /// Estimates of the time of day of a few nodes at the time of this record,
    /// in ms since the Unix epoch, by the name of the node.
    std::map<std::string, base::millis> true_times;
    /// The shares of the services that are in use, by the name of the service.
    service_levels levels;
};

std::string encode_status(const fleet_status& status);
std::optional<fleet_status> decode_status(const std::string& value);

/// Encodes what nodes other than the job owner need of a server. The versions
/// of its weights are left out, because they change every few seconds; only the
/// models are kept, each with version 1.
std::string encode_server(const samplers::registration& server);
std::optional<samplers::registration> decode_server(const std::string& value);

/// Compresses the configuration, which every node of a large fleet reads at
/// each change.
std::string compress(const std::string& text);

/// Returns std::nullopt if `bytes` are not the result of compress().
std::optional<std::string> decompress(const std::string& bytes);

} // namespace hibiscus::membership
