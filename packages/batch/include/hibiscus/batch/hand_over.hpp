#pragma once

#include "hibiscus/base/clock.hpp"

/// How an owner that stops gives the jobs up.
namespace hibiscus::batch {

/// Times of a hand-over, in ms.
struct hand_over_times {
    /// How long texts under way may take to be saved; what is not saved by
    /// then, the next owner runs again.
    base::millis save = 500;
    /// After so long the owner stops without a record of it; the others take
    /// over once they find it silent.
    base::millis total = 2000;
    /// The pause after a record that the store did not take.
    base::millis retry = 20;
};

/// What to do about the hand-over now.
enum class hand_over_step { wait, give_up, end };

/// Plans the hand-over of an owner that stops. It ends within a bounded time
/// whatever the store does: an owner that is stuck in it starts no item and
/// keeps all others from starting any.
class hand_over {
public:
    explicit hand_over(base::clock clock, hand_over_times times = {})
        : clock_(std::move(clock)), times_(times) {}

    /// The process was told to stop.
    void begin();

    /// The texts under way are saved, as far as the store took them.
    void saved() { saved_ = true; }

    /// The store did not take the record that gives the jobs up.
    void refused();

    /// Returns what to do, given whether the process owns the jobs and whether
    /// an append of it to the journal is under way.
    hand_over_step next(bool owns, bool appending);

    bool begun() const { return begun_; }

    /// Returns true from when the jobs may be given up: each other append to
    /// the journal would renew the ownership.
    bool is_due() const;

    /// Returns true once the process no longer acts as the owner.
    bool ended() const { return ended_; }

    /// Returns how long it has lasted, in ms.
    base::millis lasted() const { return clock_.now() - begun_at_; }

    /// Returns how often the store was asked to take the record.
    int tries() const { return tries_; }

private:
    base::clock clock_;
    hand_over_times times_;
    base::millis begun_at_ = 0;
    base::millis next_try_ = 0;
    int tries_ = 0;
    bool begun_ = false;
    bool saved_ = false;
    bool ended_ = false;
};

} // namespace hibiscus::batch
