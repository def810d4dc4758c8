#pragma once

#include "hibiscus/base/ids.hpp"
#include "hibiscus/samplers/sampler_table.hpp"
#include "hibiscus/store/log_store.hpp"

#include <set>
#include <string>
#include <string_view>

namespace hibiscus::membership {

/// Keys of the status and of the configuration in the fleet view.
constexpr const char* status_key = "!status";
constexpr const char* configuration_key = "!configuration";

/// Where the records of the fleet view and of the node registrations lie. The
/// same in all nodes of a fleet.
class view_layout {
public:
    /// The topics have `partitions` partitions, of which a few are used.
    view_layout(std::string view_topic, std::string nodes_topic,
                int partitions);

    /// Partition with the status and the nodes.
    store::partition status_partition() const { return {view_topic_, 0}; }

    /// Partition of the servers of a service in an availability zone. A node
    /// reads only the partitions of the servers that it uses.
    int server_partition(const samplers::service_name& service,
                         const base::zone_id& zone) const;

    store::partition view_partition(int number) const {
        return {view_topic_, number};
    }
    int view_partition_count() const { return view_partitions_; }

    /// Partition in which a node of a large fleet renews its registration. The
    /// store appends to one partition at a time, so all renewals together would
    /// saturate a single one. Nodes of a small fleet all use partition 0, which
    /// every node reads.
    int registration_partition(const std::string& node) const;

    store::partition nodes_partition(int number) const {
        return {nodes_topic_, number};
    }
    int nodes_partition_count() const { return nodes_partitions_; }

    /// Keys of a node and of a server in the fleet view.
    static std::string node_key(const std::string& node);
    static std::string server_key(const samplers::sampler_id& id);

    /// Returns the name of the node or the id of the server of a key, or an
    /// empty string if the key is of another kind.
    static std::string node_of_key(std::string_view key);
    static std::string server_of_key(std::string_view key);

private:
    std::string view_topic_;
    std::string nodes_topic_;
    int view_partitions_;
    int nodes_partitions_;
};

} // namespace hibiscus::membership
