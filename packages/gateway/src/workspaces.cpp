#include "hibiscus/gateway/workspaces.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::gateway {

void workspace_directory::add(workspace added,
                              const std::vector<std::string>& api_keys) {
    const auto index = workspaces_.size();
    workspaces_.push_back(std::move(added));
    for (const auto& key : api_keys) {
        const auto inserted = index_by_key_.emplace(key, index);
        const bool held_by_other =
            !inserted.second && inserted.first->second != index;
        unusable_count_ += held_by_other ? 1 : 0;
    }
}

const workspace*
workspace_directory::find_by_key(const std::string& api_key) const {
    const auto found = index_by_key_.find(api_key);
    return found == index_by_key_.end() ? nullptr : &workspaces_[found->second];
}

const workspace* workspace_directory::find(const std::string& name) const {
    const auto found =
        std::find_if(workspaces_.begin(), workspaces_.end(),
                     [&](const auto& w) { return w.name == name; });
    return found == workspaces_.end() ? nullptr : &*found;
}

} // namespace hibiscus::gateway
