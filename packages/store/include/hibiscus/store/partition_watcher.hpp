#pragma once

#include "hibiscus/store/log_store.hpp"

#include <map>
#include <memory>
#include <optional>

namespace hibiscus::store {

/// A key that was set or deleted.
struct change {
    std::string key;
    /// The new value; std::nullopt if the key was deleted.
    std::optional<std::string> value;
    log_offset offset = 0;
};

/// Callbacks of a partition_watcher.
struct watcher_callbacks {
    /// Called when keys have changed. The offsets of the values reported for
    /// one key increase.
    std::function<void(const std::vector<change>&)> on_changes;
    /// Called with false when the store becomes unreachable, and with true when
    /// it is reachable, including the first time.
    std::function<void(bool)> on_reachable_changed;
};

/// Intervals of a partition_watcher, in ms.
struct watcher_times {
    /// How long a read waits at the store for new records. Each response proves
    /// that the view is current, so this also bounds the age of the view of an
    /// idle partition.
    base::millis read_wait_ms = 300;
    /// Delay before a failed call is retried; limits the load on a failing
    /// store.
    base::millis retry_delay_ms = 100;
    /// Returns the delay after a read that returned records or that did not
    /// wait; batches records that arrive one at a time. No delay if not set.
    std::function<base::millis()> read_interval_ms;
};

/// Keeps a view of one partition current. Loads a snapshot of the latest record
/// of each key, then follows the log with long-polling reads. The view never
/// goes backwards: a snapshot older than the records already read is discarded,
/// and a record is applied only if its offset is greater than the known offset
/// of its key.
class partition_watcher {
public:
    partition_watcher(const log_store& store, partition source,
                      base::clock clock, run_after_function run_after,
                      watcher_times times, watcher_callbacks callbacks);
    ~partition_watcher();

    partition_watcher(const partition_watcher&) = delete;
    partition_watcher& operator=(const partition_watcher&) = delete;

    /// Starts loading the snapshot.
    void start();

    /// Sends no more reads. The view stays as it is and ages, which
    /// current_as_of() shows. A read that is under way is still applied.
    void pause();

    /// Continues after pause() where the view ends. No effect if not paused.
    void resume();

    /// Sets how long the next reads wait at the store, in ms.
    void set_read_wait(base::millis wait_ms);

    /// Returns true once the first snapshot has been applied.
    bool is_loaded() const;

    /// Returns the offset of the next record to read.
    log_offset next_offset() const;

    /// Returns the latest time for which the view is known to be current: the
    /// start of the snapshot, the start of the last read that reached the end
    /// of the partition, the end of
    /// such a read's wait if no record arrived, or the send time of the last
    /// append applied by apply_own_append().
    base::millis current_as_of() const;

    /// Applies records that this process appended itself, without waiting for
    /// the next read. The append must have been conditional on the
    /// end of the partition and sent at `sent_at`. Ignored unless `first` is
    /// the next offset of the view.
    void apply_own_append(log_offset first, const std::vector<record>& records,
                          base::millis sent_at);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::store
