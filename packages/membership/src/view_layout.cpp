#include "hibiscus/membership/view_layout.hpp"

#include "hibiscus/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::membership {

namespace {

/// Enough that the servers of a service in a zone rarely share a partition
/// with those of another.
constexpr int max_view_partitions = 64;
constexpr int max_nodes_partitions = 8;

constexpr std::string_view node_prefix = "n/";
constexpr std::string_view server_prefix = "s/";

std::string strip_prefix(std::string_view key, std::string_view prefix) {
    return key.substr(0, prefix.size()) == prefix
               ? std::string(key.substr(prefix.size()))
               : std::string();
}

} // namespace

view_layout::view_layout(std::string view_topic, std::string nodes_topic,
                         int partitions)
    : view_topic_(std::move(view_topic)), nodes_topic_(std::move(nodes_topic)),
      view_partitions_(std::min(partitions, max_view_partitions)),
      nodes_partitions_(std::min(partitions, max_nodes_partitions)) {}

int view_layout::server_partition(const samplers::service_name& service,
                                  const base::zone_id& zone) const {
    if (view_partitions_ == 1) {
        return 0;
    }
    const auto hash = base::stable_hash(service.str() + "/" + zone.str());
    const auto server_partitions =
        static_cast<std::uint64_t>(view_partitions_ - 1);
    return 1 + static_cast<int>(hash % server_partitions);
}

int view_layout::registration_partition(const std::string& node) const {
    return static_cast<int>(base::stable_hash(node) %
                            static_cast<std::uint64_t>(nodes_partitions_));
}

std::string view_layout::node_key(const std::string& node) {
    return std::string(node_prefix) + node;
}

std::string view_layout::server_key(const samplers::sampler_id& id) {
    return std::string(server_prefix) + id.str();
}

std::string view_layout::node_of_key(std::string_view key) {
    return strip_prefix(key, node_prefix);
}

std::string view_layout::server_of_key(std::string_view key) {
    return strip_prefix(key, server_prefix);
}

} // namespace hibiscus::membership
