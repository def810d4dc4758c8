#pragma once

#include "hibiscus/store/log_store.hpp"

#include <map>
#include <memory>
#include <optional>

namespace hibiscus::store {

/// A key that got a new value, or that is gone.
struct change {
    std::string key;
    /// Nothing if the key was deleted.
    std::optional<std::string> value;
    log_offset offset = 0;
};

/// What a follower tells its owner.
struct watcher_callbacks {
    /// Keys changed. Each key comes with ever newer records.
    std::function<void(const std::vector<change>&)> on_changes;
    /// The store was lost (false) or is heard again (true).
    std::function<void(bool)> on_reachable_changed;
};

/// Times of a follower, in ms.
struct watcher_times {
    /// How long a read waits at the store. Also the age that "nothing new"
    /// may have, since each return proves that the view is current.
    base::millis read_wait_ms = 300;
    /// The pause after a refusal, so that a store in trouble is not pressed.
    base::millis retry_delay_ms = 100;
    /// The pause after a read that brought records, so that records which
    /// come one by one do not cost a call each; none if it is not set.
    std::function<base::millis()> read_interval_ms;
};

/// Keeps a view of one partition current: a snapshot of the newest record of
/// each key, then reads that wait for what comes. A view never goes back: a
/// snapshot that is older than what was read is dropped, and a record applies
/// only if it stands behind the one that is known for its key.
class partition_watcher {
public:
    partition_watcher(const log_store& store, partition source,
                      base::clock clock, run_after_function after,
                      watcher_times times, watcher_callbacks events);
    ~partition_watcher();

    partition_watcher(const partition_watcher&) = delete;
    partition_watcher& operator=(const partition_watcher&) = delete;

    /// Starts to read.
    void start();

    /// Returns true once the first snapshot has been taken in.
    bool is_loaded() const;

    /// Returns the end of the partition as far as it was read.
    log_offset next_offset() const;

    /// Returns the time at which the view was last known to be current: the
    /// start of the newest read that reached the end, or of an append there.
    base::millis current_as_of() const;

    /// Takes in what the owner itself has appended on the condition that the
    /// partition ends where the view does, by a call begun at `sent_at`, so
    /// that it need not wait for the read. Ignored unless it follows on.
    void apply_own_append(log_offset first, const std::vector<record>& records,
                          base::millis sent_at);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::store
