#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscus::gateway {

/// A customer whose callers share the configured services.
struct workspace {
    std::string name;
    /// Replaces the priority of the routes for requests of this workspace; 0 is
    /// the most urgent.
    std::optional<int> priority;
};

/// The workspaces of a configuration and the API keys that they hold.
class workspace_directory {
public:
    /// Adds a workspace with its keys. A key that another workspace holds
    /// already stays with that workspace and counts as unusable.
    void add(workspace added, const std::vector<std::string>& api_keys);

    /// Called for a workspace of the configuration that can't be added.
    void count_unusable() { ++unusable_count_; }

    /// Returns the workspace that holds the key, or null.
    const workspace* find_by_key(const std::string& api_key) const;

    /// Returns the workspace with the name, or null.
    const workspace* find(const std::string& name) const;

    std::size_t size() const { return workspaces_.size(); }

    std::size_t key_count() const { return index_by_key_.size(); }

    /// Returns the number of keys and workspaces that were ignored.
    std::size_t unusable_count() const { return unusable_count_; }

private:
    std::vector<workspace> workspaces_;
    std::unordered_map<std::string, std::size_t> index_by_key_;
    std::size_t unusable_count_ = 0;
};

} // namespace hibiscus::gateway
