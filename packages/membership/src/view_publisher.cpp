#include "hibiscus/membership/view_publisher.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::membership {

namespace {

/// How long a read of an idle partition waits at the store, in ms. The
/// publisher knows of its own appends; it reads only to notice those of
/// another publisher.
constexpr base::millis read_wait_ms = 1000;

/// Interval between two reads of a partition that is being appended to, in ms.
constexpr base::millis read_interval_ms = 500;

} // namespace

view_publisher::view_publisher(const store::log_store& log_store,
                               const view_layout& layout, base::clock clock,
                               store::run_after_function run_after,
                               telemetry::event_log& log,
                               std::size_t max_append_bytes)
    : log_store_(log_store), layout_(layout), clock_(std::move(clock)),
      log_(log), max_append_bytes_(max_append_bytes),
      partitions_(static_cast<std::size_t>(layout.view_partition_count())) {
    for (int n = 0; n < layout_.view_partition_count(); ++n) {
        auto& state = partitions_[static_cast<std::size_t>(n)];
        state.watcher = std::make_unique<store::partition_watcher>(
            log_store, layout_.view_partition(n), clock_, run_after,
            store::watcher_times{read_wait_ms,
                                 store::watcher_times().retry_delay_ms,
                                 [] { return read_interval_ms; }},
            store::watcher_callbacks{[this, &state](const auto& changes) {
                                         apply_changes(state, changes);
                                     },
                                     {}});
    }
}

view_publisher::~view_publisher() = default;

void view_publisher::start() {
    start(partitions_.front());
}

void view_publisher::start_all() {
    for (auto& state : partitions_) {
        start(state);
    }
}

void view_publisher::start(partition_state& state) {
    if (!std::exchange(state.started, true)) {
        state.watcher->start();
    }
}

bool view_publisher::is_loaded() const {
    return std::all_of(partitions_.begin(), partitions_.end(),
                       [](const auto& state) {
                           return !state.started || state.watcher->is_loaded();
                       });
}

bool view_publisher::is_complete() const {
    return is_loaded() && std::all_of(partitions_.begin(), partitions_.end(),
                                      [](const auto& state) {
                                          return state.dirty.empty() &&
                                                 !state.appending;
                                      });
}

bool view_publisher::is_published(int partition, const std::string& key) const {
    return partitions_[static_cast<std::size_t>(partition)].published.count(
               key) != 0;
}

void view_publisher::set(int partition, const std::string& key,
                         std::optional<std::string> value) {
    auto& state = partitions_[static_cast<std::size_t>(partition)];
    const auto [row, inserted] = state.desired.try_emplace(key, value);
    if (!inserted && row->second == value) {
        return;
    }
    row->second = std::move(value);
    state.dirty.insert(key);
}

void view_publisher::move(const std::string& key, int partition,
                          std::string value) {
    const auto [location, inserted] = locations_.try_emplace(key, partition);
    if (!inserted && location->second != partition) {
        set(std::exchange(location->second, partition), key, std::nullopt);
    }
    set(partition, key, std::move(value));
}

void view_publisher::remove(const std::string& key) {
    const auto location = locations_.find(key);
    if (location != locations_.end()) {
        set(location->second, key, std::nullopt);
        locations_.erase(location);
    }
}

void view_publisher::remove_unset() {
    for (auto& state : partitions_) {
        for (const auto& row : state.published) {
            const bool is_own_key =
                row.first == status_key || row.first == configuration_key;
            if (!is_own_key &&
                state.desired.try_emplace(row.first, std::nullopt).second) {
                state.dirty.insert(row.first);
            }
        }
    }
}

void view_publisher::apply_changes(partition_state& state,
                                   const std::vector<store::change>& changes) {
    for (const auto& c : changes) {
        if (c.value) {
            state.published[c.key] = *c.value;
        } else {
            state.published.erase(c.key);
        }
        // Another publisher may have written the record.
        if (state.desired.count(c.key) != 0) {
            state.dirty.insert(c.key);
        }
    }
}

/// Removes keys from the dirty set and returns the records to append for them.
std::vector<store::record>
view_publisher::take_differences(partition_state& state) const {
    std::vector<store::record> records;
    std::size_t bytes = 0;
    while (!state.dirty.empty() && bytes < max_append_bytes_ / 2) {
        const auto key = *state.dirty.begin();
        state.dirty.erase(state.dirty.begin());
        const auto& desired = state.desired.at(key);
        const auto published = state.published.find(key);
        const bool is_published = published != state.published.end();
        if (desired ? is_published && published->second == *desired
                    : !is_published) {
            continue;
        }
        records.push_back({key, desired.value_or("")});
        bytes += key.size() + records.back().value.size();
    }
    return records;
}

void view_publisher::publish() {
    for (int n = 0; n < layout_.view_partition_count(); ++n) {
        const auto& state = partitions_[static_cast<std::size_t>(n)];
        if (state.watcher->is_loaded() && !state.appending) {
            append_differences(n);
        }
    }
}

void view_publisher::append_differences(int number) {
    auto& state = partitions_[static_cast<std::size_t>(number)];
    auto records = take_differences(state);
    if (records.empty()) {
        return;
    }
    state.appending = true;
    const auto expected_end = state.watcher->next_offset();
    log_store_.append(
        layout_.view_partition(number), records, &expected_end,
        [this, alive = std::weak_ptr<bool>(alive_), number, records,
         sent_at = clock_.now()](const store::append_result& result) {
            if (!alive.expired()) {
                on_appended(number, records, sent_at, result);
            }
        });
}

void view_publisher::on_appended(int number,
                                 const std::vector<store::record>& records,
                                 base::millis sent_at,
                                 const store::append_result& result) {
    auto& state = partitions_[static_cast<std::size_t>(number)];
    state.appending = false;
    if (const auto* done = base::value_if(result)) {
        state.watcher->apply_own_append(done->first, records, sent_at);
        return;
    }
    log_.write(
        "view_not_published",
        {{"partition", number},
         {"records", records.size()},
         {"conflict", std::holds_alternative<store::append_conflict>(result)}});
    // The watcher reads what was appended meanwhile, if anything.
    for (const auto& r : records) {
        state.dirty.insert(r.key);
    }
}

} // namespace hibiscus::membership
