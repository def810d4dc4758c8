#pragma once

#include "hibiscus/membership/records.hpp"
#include "hibiscus/membership/view_layout.hpp"
#include "hibiscus/store/partition_watcher.hpp"
#include "hibiscus/telemetry/event_log.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscus::membership {

/// Publishes the fleet view: brings the records in the store in line with the
/// desired ones. Each append is conditional on the end of the partition, so
/// that a publisher which was replaced while it was suspended can't overwrite
/// newer records.
class view_publisher {
public:
    /// Appends at most `max_append_bytes` at once.
    view_publisher(const store::log_store& log_store, const view_layout& layout,
                   base::clock clock, store::run_after_function run_after,
                   telemetry::event_log& log, std::size_t max_append_bytes);
    ~view_publisher();

    view_publisher(const view_publisher&) = delete;
    view_publisher& operator=(const view_publisher&) = delete;

    /// Starts to read the status partition. Only the status can be published
    /// until start_all().
    void start();

    /// Starts to read all other partitions too.
    void start_all();

    /// Returns true once it is known what is published in the partitions that
    /// are read.
    bool is_loaded() const;

    /// Sets the desired value of a key; std::nullopt to delete it. Keys that
    /// were never set stay as they are until remove_unset().
    void set(int partition, const std::string& key,
             std::optional<std::string> value);

    /// Sets the desired value of a key, and deletes the key in the partition in
    /// which move() last set it if that is another one.
    void move(const std::string& key, int partition, std::string value);

    /// Deletes a key that move() has set.
    void remove(const std::string& key);

    /// Deletes all published keys that were never set, except the status
    /// and the configuration. Call once all desired values are known.
    void remove_unset();

    /// Returns true if the key is published.
    bool is_published(int partition, const std::string& key) const;

    /// Returns true if nothing remains to be appended.
    bool is_complete() const;

    /// Appends the differences. Call periodically.
    void publish();

private:
    struct partition_state {
        std::map<std::string, std::string> published;
        std::map<std::string, std::optional<std::string>> desired;
        /// Keys whose published value may differ from the desired one.
        std::set<std::string> dirty;
        bool appending = false;
        bool started = false;
        std::unique_ptr<store::partition_watcher> watcher;
    };

    static void start(partition_state& state);
    void apply_changes(partition_state& state,
                       const std::vector<store::change>& changes);
    std::vector<store::record> take_differences(partition_state& state) const;
    void append_differences(int number);
    void on_appended(int number, const std::vector<store::record>& records,
                     base::millis sent_at, const store::append_result& result);

    const store::log_store& log_store_;
    view_layout layout_;
    base::clock clock_;
    telemetry::event_log& log_;
    std::size_t max_append_bytes_;
    std::vector<partition_state> partitions_;
    /// The partition in which move() last set a key.
    std::map<std::string, int> locations_;
    /// Expires with this object; guards the results of appends.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hibiscus::membership
