#include "hibiscus/batch/work_meter.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace hibiscus::batch {

namespace {

/// Steps and texts of a trainer that are remembered.
constexpr std::size_t remembered_steps = 4;
constexpr std::size_t remembered_texts = 256;

/// Texts from which a trainer counts as measured. The first to end are short.
constexpr std::size_t min_texts = 16;

/// Part of its target time in which a step should end if nothing goes wrong.
/// The rest is for servers that are slow or lost, and for the reads and scores
/// that follow the texts.
constexpr double planned_share = 0.75;

/// Smallest part of its target time that is planned for the work of a step,
/// however long single runs and loads take, and however often steps come.
constexpr double min_work_share = 0.2;

/// The part of the texts that are at most as long as the run that may begin
/// last.
constexpr double long_text_quantile = 0.9;

/// A trainer needs slots until this many target times after its last step.
constexpr base::millis active_targets = 4;

/// A trainer without a step for this long is forgotten, in ms.
constexpr base::millis max_idle_ms = 600000;

double quantile(std::vector<double> values, double share) {
    const auto position = static_cast<std::ptrdiff_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

/// The usual time of a run per event. A median, since single servers are slow.
double ms_per_event(const std::deque<text_sample>& texts) {
    std::vector<double> values;
    values.reserve(texts.size());
    for (const auto& text : texts) {
        values.push_back(static_cast<double>(text.run_ms) / text.run_events);
    }
    return quantile(std::move(values), 0.5);
}

/// The events of a text at long_text_quantile.
double long_text_length(const std::deque<text_sample>& texts) {
    std::vector<double> values;
    values.reserve(texts.size());
    for (const auto& text : texts) {
        values.push_back(text.event_count);
    }
    return quantile(std::move(values), long_text_quantile);
}

double events_per_token(const std::deque<text_sample>& texts) {
    double events = 0;
    double tokens = 0;
    for (const auto& text : texts) {
        events += text.event_count;
        tokens += static_cast<double>(text.expected_tokens);
    }
    return events / tokens;
}

/// The usual time between two steps, or nothing if it is unknown. A step that
/// is late delays the next one, so that longer times than a step's target say
/// nothing of how often the trainer would submit steps.
std::optional<double> step_interval(const std::deque<step_size>& steps) {
    std::vector<double> intervals;
    for (std::size_t n = 1; n < steps.size(); ++n) {
        // A process that has just read the journal saw all of its jobs at once.
        const auto interval =
            std::max(steps[n].first_seen_at - steps[n - 1].first_seen_at,
                     steps[n].accepted_wall_ms - steps[n - 1].accepted_wall_ms);
        if (interval > 0 && interval <= steps[n - 1].target_ms) {
            intervals.push_back(static_cast<double>(interval));
        }
    }
    return intervals.empty() ? std::nullopt
                             : std::optional(quantile(intervals, 0.5));
}

} // namespace

void work_meter::on_step_added(const trainer_key& trainer, const job_id& id,
                               const step_size& size) {
    if (size.target_ms <= 0) {
        return;
    }
    auto& state = trainers_[trainer];
    if (state.steps.empty()) {
        state.first_step_at = size.first_seen_at;
    }
    state.steps.push_back(size);
    // After a takeover, jobs are added in the order of their ids.
    std::sort(state.steps.begin(), state.steps.end(),
              [](const auto& a, const auto& b) {
                  return std::tie(a.first_seen_at, a.accepted_wall_ms) <
                         std::tie(b.first_seen_at, b.accepted_wall_ms);
              });
    if (state.steps.size() > remembered_steps) {
        state.steps.pop_front();
    }
    state.open_steps.insert(id);
    open_steps_.emplace(id, trainer);
}

void work_meter::on_step_removed(const job_id& id) {
    const auto found = open_steps_.find(id);
    if (found == open_steps_.end()) {
        return;
    }
    trainers_[found->second].open_steps.erase(id);
    open_steps_.erase(found);
}

void work_meter::on_text(const trainer_key& trainer,
                         const text_sample& sample) {
    if (sample.run_events <= 0 || sample.event_count <= 0) {
        return;
    }
    auto& texts = trainers_[trainer].texts;
    texts.push_back(sample);
    texts.back().expected_tokens =
        std::max<std::int64_t>(1, sample.expected_tokens);
    if (texts.size() > remembered_texts) {
        texts.pop_front();
    }
}

void work_meter::clear() {
    trainers_.clear();
    open_steps_.clear();
}

bool work_meter::is_measured(const trainer_state& trainer) {
    return trainer.texts.size() >= min_texts;
}

bool work_meter::is_active(const trainer_state& trainer, base::millis now) {
    if (trainer.steps.empty()) {
        return false;
    }
    const auto& last = trainer.steps.back();
    return !trainer.open_steps.empty() ||
           now - last.first_seen_at <= active_targets * last.target_ms;
}

double work_meter::needed_slots(const trainer_state& trainer,
                                base::millis load_ms) {
    const auto event_ms = ms_per_event(trainer.texts);
    const auto token_ms = event_ms * events_per_token(trainer.texts);
    const auto last_run_ms = event_ms * long_text_length(trainer.texts);
    const auto interval = step_interval(trainer.steps);
    double slots = 0;
    for (const auto& step : trainer.steps) {
        const auto target_ms = static_cast<double>(step.target_ms);
        const auto planned_ms = planned_share * target_ms - last_run_ms -
                                static_cast<double>(load_ms);
        const auto work_ms =
            std::max(std::min(planned_ms, interval.value_or(planned_ms)),
                     min_work_share * target_ms);
        slots = std::max(slots, token_ms *
                                    static_cast<double>(step.expected_tokens) /
                                    work_ms);
    }
    return slots;
}

std::optional<slot_demand>
work_meter::demand(const samplers::service_name& service, base::millis load_ms,
                   base::millis now) const {
    slot_demand total;
    bool any_measured = false;
    for (const auto& [key, trainer] : trainers_) {
        if (key.service != service || trainer.steps.empty()) {
            continue;
        }
        if (!is_measured(trainer)) {
            const auto age = now - trainer.first_step_at;
            total.is_complete &= age > trainer.steps.front().target_ms;
            continue;
        }
        any_measured = true;
        if (is_active(trainer, now)) {
            total.slots += needed_slots(trainer, load_ms);
        }
    }
    return any_measured ? std::optional(total) : std::nullopt;
}

void work_meter::forget_idle(base::millis now) {
    for (auto row = trainers_.begin(); row != trainers_.end();) {
        const auto& trainer = row->second;
        const bool is_idle =
            trainer.open_steps.empty() &&
            (trainer.steps.empty() ||
             now - trainer.steps.back().first_seen_at > max_idle_ms);
        row = is_idle ? trainers_.erase(row) : std::next(row);
    }
}

} // namespace hibiscus::batch
