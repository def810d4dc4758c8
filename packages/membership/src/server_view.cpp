#include "hibiscus/membership/server_view.hpp"

#include "hibiscus/membership/records.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::membership {

server_view::server_view(samplers::sampler_table& servers,
                         const store::log_store& log_store,
                         const view_layout& layout, base::clock clock,
                         store::run_after_function run_after,
                         std::function<base::millis()> read_interval)
    : servers_(servers), log_store_(log_store), layout_(layout),
      clock_(std::move(clock)), run_after_(std::move(run_after)),
      read_interval_(std::move(read_interval)) {}

server_view::~server_view() = default;

void server_view::follow(const std::set<int>& partitions) {
    if (partitions != wanted_) {
        wanted_ = partitions;
        has_foreign_rows_ = true;
        for (const auto partition : partitions) {
            start_following(partition);
        }
    }
    for (const auto& row : followed_) {
        row.second.watcher->set_read_wait(read_interval_());
    }
    if (has_foreign_rows_ && is_loaded()) {
        drop_unneeded();
    }
}

void server_view::start_following(int partition) {
    const auto [row, inserted] = followed_.try_emplace(partition);
    if (!inserted) {
        return;
    }
    auto& source = row->second;
    source.watcher = std::make_unique<store::partition_watcher>(
        log_store_, layout_.view_partition(partition), clock_, run_after_,
        store::watcher_times{read_interval_(),
                             store::watcher_times().retry_delay_ms,
                             read_interval_},
        store::watcher_callbacks{[this, &source](const auto& changes) {
                                     apply_changes(source, changes);
                                 },
                                 {}});
    source.watcher->start();
}

bool server_view::is_loaded() const {
    return std::all_of(wanted_.begin(), wanted_.end(), [this](int partition) {
        const auto source = followed_.find(partition);
        return source != followed_.end() && source->second.watcher->is_loaded();
    });
}

void server_view::apply_changes(followed_partition& source,
                                const std::vector<store::change>& changes) {
    for (const auto& c : changes) {
        const samplers::sampler_id id(view_layout::server_of_key(c.key));
        if (id.empty()) {
            continue;
        }
        auto entry = c.value ? decode_server(*c.value) : std::nullopt;
        if (entry) {
            source.servers.insert(id);
            servers_.put(id, std::move(*entry));
            continue;
        }
        source.servers.erase(id);
        // A server that moved is listed in another partition.
        if (!is_listed(id)) {
            servers_.remove(id);
        }
    }
}

bool server_view::is_listed(const samplers::sampler_id& id) const {
    return std::any_of(followed_.begin(), followed_.end(), [&](const auto& f) {
        return f.second.servers.count(id) != 0;
    });
}

void server_view::drop_unneeded() {
    has_foreign_rows_ = false;
    for (auto row = followed_.begin(); row != followed_.end();) {
        row = wanted_.count(row->first) != 0 ? std::next(row)
                                             : followed_.erase(row);
    }
    std::vector<samplers::sampler_id> unlisted;
    for (const auto& row : servers_.rows()) {
        if (!is_listed(row.first)) {
            unlisted.push_back(row.first);
        }
    }
    for (const auto& id : unlisted) {
        servers_.remove(id);
    }
}

} // namespace hibiscus::membership
