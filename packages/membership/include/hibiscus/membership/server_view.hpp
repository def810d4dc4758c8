#pragma once

#include "hibiscus/membership/view_layout.hpp"
#include "hibiscus/samplers/sampler_table.hpp"
#include "hibiscus/store/partition_watcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hibiscus::membership {

/// Keeps the table of backend servers up to date with some partitions of the
/// fleet view.
class server_view {
public:
    /// `read_interval` returns the interval between two reads of a partition,
    /// in ms.
    server_view(samplers::sampler_table& servers,
                const store::log_store& log_store, const view_layout& layout,
                base::clock clock, store::run_after_function run_after,
                std::function<base::millis()> read_interval);
    ~server_view();

    server_view(const server_view&) = delete;
    server_view& operator=(const server_view&) = delete;

    /// Follows these partitions. Once all are loaded, follows no others and
    /// removes the rows that none of them has.
    void follow(const std::set<int>& partitions);

    /// Returns true once the table has the servers of all partitions.
    bool is_loaded() const;

private:
    struct followed_partition {
        std::set<samplers::sampler_id> servers;
        std::unique_ptr<store::partition_watcher> watcher;
    };

    void start_following(int partition);
    void apply_changes(followed_partition& source,
                       const std::vector<store::change>& changes);
    void drop_unneeded();
    bool is_listed(const samplers::sampler_id& id) const;

    samplers::sampler_table& servers_;
    const store::log_store& log_store_;
    view_layout layout_;
    base::clock clock_;
    store::run_after_function run_after_;
    std::function<base::millis()> read_interval_;
    std::set<int> wanted_;
    std::map<int, followed_partition> followed_;
    /// True until the rows of earlier sources have been removed.
    bool has_foreign_rows_ = true;
};

} // namespace hibiscus::membership
