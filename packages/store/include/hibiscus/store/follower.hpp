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
    log_offset at = 0;
};

/// What a follower tells its owner.
struct follower_events {
    /// Keys changed. Each key comes with ever newer records.
    std::function<void(const std::vector<change>&)> changed;
    /// The store was lost (false) or is heard again (true).
    std::function<void(bool)> contact;
};

/// Times of a follower, in ms.
struct follower_times {
    /// How long a read waits at the store. Also the age that "nothing new"
    /// may have, since each return proves that the view is current.
    base::millis wait = 300;
    /// The pause after a refusal, so that a store in trouble is not pressed.
    base::millis retry = 100;
    /// The pause after a read that brought records, so that records which
    /// come one by one do not cost a call each; none if it is not set.
    std::function<base::millis()> pace;
};

/// Keeps a view of one partition current: a snapshot of the newest record of
/// each key, then reads that wait for what comes. A view never goes back: a
/// snapshot that is older than what was read is dropped, and a record applies
/// only if it stands behind the one that is known for its key.
class follower {
public:
    follower(const log_store& store, partition source, base::clock clock,
             delay_function after, follower_times times,
             follower_events events);
    ~follower();

    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;

    /// Starts to read.
    void start();

    /// Returns true once the first snapshot has been taken in.
    bool loaded() const;

    /// Returns the end of the partition as far as it was read.
    log_offset next() const;

    /// Returns the time at which the view was last known to be current: the
    /// start of the newest read that reached the end, or of an append there.
    base::millis current_at() const;

    /// Takes in what the owner itself has appended on the condition that the
    /// partition ends where the view does, by a call begun at `sent_at`, so
    /// that it need not wait for the read. Ignored unless it follows on.
    void appended_here(log_offset first, const std::vector<record>& records,
                       base::millis sent_at);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hibiscus::store
