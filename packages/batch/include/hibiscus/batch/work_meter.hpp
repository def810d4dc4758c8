#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/batch/job.hpp"
#include "hibiscus/batch/trainer_key.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace hibiscus::batch {

/// A job as the meter counts it.
struct step_size {
    base::millis first_seen_at = 0;
    /// By the clock of the node that accepted the job; only a hint.
    base::millis accepted_wall_ms = 0;
    base::millis target_ms = 0;
    /// Sum over the items that no earlier step contained.
    std::int64_t expected_tokens = 0;
};

/// A text that has become complete.
struct text_sample {
    std::int64_t expected_tokens = 0;
    /// Events of the whole text.
    int event_count = 0;
    /// Events and duration of its last run, in ms.
    int run_events = 0;
    base::millis run_ms = 0;
};

/// The slots that the trainers of a service need.
struct slot_demand {
    double slots = 0;
    /// False while a trainer's first step has not shown its work yet.
    bool is_complete = true;
};

/// Measures the work of each trainer's steps, and estimates from it how many
/// slots the trainers of a service need for their steps to end by their
/// targets.
class work_meter {
public:
    /// Steps without a target time are not measured.
    void on_step_added(const trainer_key& trainer, const job_id& id,
                       const step_size& size);
    void on_step_removed(const job_id& id);
    void on_text(const trainer_key& trainer, const text_sample& sample);

    /// Forgets all trainers.
    void clear();

    /// Returns the demand on a service, or nothing if no trainer of it has been
    /// measured lately. `load_ms` is the duration of a load of weights, which
    /// comes with each step.
    std::optional<slot_demand> demand(const samplers::service_name& service,
                                      base::millis load_ms,
                                      base::millis now) const;

    /// Forgets trainers without a step for a long time.
    void forget_idle(base::millis now);

private:
    struct trainer_state {
        std::deque<step_size> steps;
        std::deque<text_sample> texts;
        std::set<job_id> open_steps;
        base::millis first_step_at = 0;
    };

    static bool is_measured(const trainer_state& trainer);
    static bool is_active(const trainer_state& trainer, base::millis now);
    static double needed_slots(const trainer_state& trainer,
                               base::millis load_ms);

    std::map<trainer_key, trainer_state> trainers_;
    std::map<job_id, trainer_key> open_steps_;
};

} // namespace hibiscus::batch
