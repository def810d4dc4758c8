#pragma once

#include "hibiscus/base/clock.hpp"

/// How an owner that stops gives the jobs up.
namespace hibiscus::batch {

/// Times of a hand-over, in ms.
struct handover_times {
    /// How long texts under way may take to be saved; what is not saved by
    /// then, the next owner runs again.
    base::millis save_timeout = 500;
    /// After so long the owner stops without a record of it; the others take
    /// over once they find it silent.
    base::millis total_timeout = 2000;
    /// The pause after a record that the store did not take.
    base::millis retry_interval = 20;
};

/// What to do about the hand-over now.
enum class handover_action { wait, release, end };

/// Plans the hand-over of an owner that stops. It ends within a bounded time
/// whatever the store does: an owner that is stuck in it starts no item and
/// keeps all others from starting any.
class handover {
public:
    explicit handover(base::clock clock, handover_times times = {})
        : clock_(std::move(clock)), times_(times) {}

    /// The process was told to stop.
    void begin();

    /// The texts under way are saved, as far as the store took them.
    void on_texts_saved() { texts_saved_ = true; }

    /// The store did not take the record that gives the jobs up.
    void on_record_rejected();

    /// Returns what to do, given whether the process owns the jobs and whether
    /// an append of it to the journal is under way.
    handover_action next_action(bool owns, bool appending);

    bool has_begun() const { return has_begun_; }

    /// Returns true from when the jobs may be given up: each other append to
    /// the journal would renew the ownership.
    bool may_release() const;

    /// Returns true once the process no longer acts as the owner.
    bool has_ended() const { return has_ended_; }

    /// Returns how long it has lasted, in ms.
    base::millis elapsed() const { return clock_.now() - begun_at_; }

    /// Returns how often the store was asked to take the record.
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
