#include "hibiscus/batch/run_pace.hpp"

#include <cmath>

namespace hibiscus::batch {

namespace {

/// The time in which older observations decay to a third, in ms.
constexpr double decay_ms = 5000;

/// Events from which on the mean is used.
constexpr double min_events = 50;

} // namespace

void run_pace::add_time(base::millis elapsed_ms, int running) {
    if (running == 0 && new_events_ == 0) {
        // What the servers do is not known better while they do nothing.
        return;
    }
    const double kept = std::exp(-static_cast<double>(elapsed_ms) / decay_ms);
    run_ms_ = run_ms_ * kept + static_cast<double>(elapsed_ms) * running;
    events_ = events_ * kept + new_events_;
    new_events_ = 0;
}

double run_pace::ms_per_event() const {
    return events_ < min_events ? 0 : run_ms_ / events_;
}

} // namespace hibiscus::batch
