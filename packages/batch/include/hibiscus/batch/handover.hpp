#pragma once

#include "hibiscus/base/clock.hpp"

/// How a stopping owner hands over its jobs.
namespace hibiscus::batch {

/// Times of a handover, in ms.
struct handover_times {
    /// The time allowed for saving unfinished texts. The next owner generates
    /// unsaved text again.
    base::millis save_timeout = 500;
    /// After this time the owner stops without a handover record; other nodes
    /// take over after the lease timeout.
    base::millis total_timeout = 2000;
    /// The delay after the store rejected the handover record.
    base::millis retry_interval = 20;
};

/// The next action of a handover. `release` appends the handover record; `end`
/// means that the process no longer acts as the owner.
enum class handover_action { wait, release, end };

/// Plans the handover of an owner that stops. It ends within a bounded time
/// whatever the store does: an owner stuck in a handover starts no items and
/// keeps all other nodes from starting any.
class handover {
public:
    explicit handover(base::clock clock, handover_times times = {})
        : clock_(std::move(clock)), times_(times) {}

    /// Called when the process is told to stop.
    void begin();

    /// Called when all unfinished texts are saved or the store rejected them.
    void on_texts_saved() { texts_saved_ = true; }

    /// Called when an append of the handover record did not succeed, also if
    /// its outcome is unknown.
    void on_record_rejected();

    /// Returns what to do now. `is_owner` tells whether this process is the job
    /// owner, `append_in_flight` whether one of its appends to the journal is
    /// in flight.
    handover_action next_action(bool is_owner, bool append_in_flight);

    bool has_begun() const { return has_begun_; }

    /// Returns true once the handover record may be appended. The owner must
    /// not append anything else to the journal from then on, since that would
    /// renew its lease.
    bool may_release() const;

    /// Returns true once the process no longer acts as the owner.
    bool has_ended() const { return has_ended_; }

    /// Returns the time since begin(), in ms.
    base::millis elapsed() const { return clock_.now() - begun_at_; }

    /// Returns how often the handover record was sent to the store.
    int attempts() const { return attempts_; }

private:
    base::clock clock_;
    handover_times times_;
    base::millis begun_at_ = 0;
    base::millis next_attempt_at_ = 0;
    int attempts_ = 0;
    bool has_begun_ = false;
    bool texts_saved_ = false;
    bool has_ended_ = false;
};

} // namespace hibiscus::batch
