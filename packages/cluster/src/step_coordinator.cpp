#include "hibiscus/cluster/step_coordinator.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr std::size_t max_steps_per_trainer = 4;
constexpr std::size_t default_max_samples = 256;
constexpr base::millis unknown_trainer_retry = 1000;

/// Returns the oldest version in `chunks`, or nothing if they are not a whole
/// text from its beginning.
std::optional<wire::weight_version>
oldest_version_in(const std::vector<wire::chunk>& chunks) {
    std::optional<wire::weight_version> oldest;
    std::uint32_t next = 0;
    for (const auto& c : chunks) {
        if (c.seq != next++) {
            return std::nullopt;
        }
        oldest = std::min(oldest.value_or(c.version), c.version);
    }
    return oldest;
}

/// Returns a bit for each slot that `ranges` name.
std::vector<bool> to_bitmap(const std::vector<wire::slot_range>& ranges,
                            std::size_t slots) {
    std::vector<bool> listed(slots, false);
    for (const auto& range : ranges) {
        const auto end =
            std::min<std::size_t>(std::size_t{range.last} + 1, slots);
        for (std::size_t i = range.first; i < end; ++i) {
            listed[i] = true;
        }
    }
    return listed;
}

} // namespace

step_coordinator::step_coordinator(base::node_id self, step_options times,
                                   placement_function place,
                                   staleness_bound_function bound,
                                   straggler_policy_function stragglers)
    : self_(std::move(self)), options_(times), choose_engine_(std::move(place)),
      staleness_bound_(std::move(bound)),
      straggler_policy_(std::move(stragglers)) {}

wire::step_response
step_coordinator::open_step(base::millis now, const wire::open_step& message) {
    wire::step_response answer;
    answer.result = wire::outcome::not_run;
    const auto dropped = last_dropped_steps_.find(message.trainer);
    if (!staleness_bound_(message.trainer)) {
        answer.why = wire::reason::unknown_trainer;
        answer.retry_after_ms = unknown_trainer_retry;
        return answer;
    }
    if (dropped != last_dropped_steps_.end() &&
        message.step <= dropped->second) {
        answer.why = wire::reason::superseded;
        answer.retry_after_ms = unknown_trainer_retry;
        return answer;
    }
    update_newest_version(now, message.trainer, message.request.version);
    const auto next = steps_.lower_bound({message.trainer, INT64_MIN});
    const bool is_new =
        next == steps_.end() || next->first.first != message.trainer;
    const auto due = is_new ? now + options_.adoption_delay : now;
    const auto at =
        steps_
            .try_emplace({message.trainer, message.step}, message.trainer,
                         message.step, message.request, due)
            .first;
    answer.result = wire::outcome::completed;
    answer.slots = static_cast<std::uint32_t>(at->second.slots().size());
    drop_old_steps(message.trainer);
    return answer;
}

void step_coordinator::drop_old_steps(const base::trainer_id& trainer) {
    const auto first = steps_.lower_bound({trainer, INT64_MIN});
    const auto last = steps_.upper_bound({trainer, INT64_MAX});
    auto count = static_cast<std::size_t>(std::distance(first, last));
    for (auto at = first; at != last && count > max_steps_per_trainer;
         --count) {
        for (const auto index : at->second.placed_slots()) {
            cancel_slot(at->second, index);
        }
        const auto waiting = waiting_pulls_.find(at->first);
        if (waiting != waiting_pulls_.end()) {
            reject_pull(waiting->second, wire::reason::unknown_step);
            waiting_pulls_.erase(waiting);
        }
        last_dropped_steps_[trainer] = at->first.second;
        at = steps_.erase(at);
    }
}

void step_coordinator::pull_samples(base::millis now, waiter_id waiter,
                                    const wire::pull_step& message) {
    const step_key key{message.trainer, message.step};
    waiting_pull waiting{waiter, key, message.request,
                         now + message.request.wait_ms};
    update_newest_version(now, message.trainer, message.request.version);
    const auto earlier = waiting_pulls_.find(key);
    if (earlier != waiting_pulls_.end()) {
        // The pulls of one trainer may come by two entries and change order
        // on the way; the trainer takes only the answer to its latest.
        if (earlier->second.request.pull > message.request.pull) {
            reject_pull(waiting, wire::reason::superseded);
            return;
        }
        reject_pull(earlier->second, wire::reason::superseded);
        waiting_pulls_.erase(earlier);
    }
    const auto at = steps_.find(key);
    if (at == steps_.end()) {
        reject_pull(waiting, wire::reason::unknown_step);
        return;
    }
    mark_received(now, at->second, message.request.received);
    if (!try_respond(now, waiting)) {
        waiting_pulls_.emplace(key, std::move(waiting));
    }
}

void step_coordinator::cancel_pull(waiter_id waiter) {
    for (auto at = waiting_pulls_.begin(); at != waiting_pulls_.end();) {
        at = at->second.waiter == waiter ? waiting_pulls_.erase(at)
                                         : std::next(at);
    }
}

void step_coordinator::mark_received(
    base::millis now, step_state& step,
    const std::vector<wire::slot_range>& ranges) {
    const auto listed = to_bitmap(ranges, step.slots().size());
    for (wire::slot_index i = 0; i < listed.size(); ++i) {
        const bool known = step.slots()[i].phase == slot_phase::received;
        if (listed[i] && !known) {
            cancel_slot(step, i);
            step.mark_received(i);
        } else if (!listed[i] && known) {
            // The trainer has lost what it had, for instance by a restart. It
            // alone knows, and without this it would wait for ever.
            step.mark_waiting(i, now);
        }
    }
}

bool step_coordinator::is_stale(
    const base::trainer_id& trainer,
    std::optional<wire::weight_version> oldest) const {
    const auto bound = staleness_bound_(trainer);
    return bound && oldest && *oldest < newest_version(trainer) - *bound;
}

void step_coordinator::cancel_slot(const step_state& step,
                                   wire::slot_index index) {
    const auto& slot = step.slots()[index];
    if (slot.phase == slot_phase::placed) {
        effects_.push_back(cancel_stream{
            slot.engine, make_stream_id(step.trainer(), step.number(), index,
                                        slot.attempt)});
    }
}

void step_coordinator::regenerate_slot(base::millis now, step_state& step,
                                       wire::slot_index index) {
    cancel_slot(step, index);
    step.mark_waiting(index, now);
}

std::vector<base::stream_id>
step_coordinator::on_report(base::millis now,
                            const wire::sample_report& report) {
    std::vector<base::stream_id> finished;
    std::set<step_key> touched;
    for (const auto& one : report.streams) {
        const auto* step = on_stream_report(now, one, finished);
        if (step != nullptr && !step->finished_slots().empty()) {
            touched.emplace(step->trainer(), step->number());
        }
    }
    for (const auto& key : touched) {
        respond_to_waiting_pull(now, key);
    }
    return finished;
}

step_state*
step_coordinator::on_stream_report(base::millis now,
                                   const wire::stream_report& report,
                                   std::vector<base::stream_id>& finished) {
    const auto name = parse_stream_id(report.stream);
    if (!name) {
        return nullptr;
    }
    const auto at = steps_.find({name->trainer, name->step});
    if (at == steps_.end()) {
        // Either the step was dropped, or the trainer has moved: then the
        // streams belong to its new home and must not be stopped.
        const auto dropped = last_dropped_steps_.find(name->trainer);
        if (dropped != last_dropped_steps_.end() &&
            name->step <= dropped->second) {
            discard_stream(report, finished);
        }
        return nullptr;
    }
    auto& step = at->second;
    if (name->slot >= step.slots().size()) {
        return nullptr;
    }
    const auto& slot = step.slots()[name->slot];
    const bool ours = slot.phase == slot_phase::placed &&
                      slot.attempt == name->attempt &&
                      slot.engine == report.engine;
    if (!ours && !adopt_stream(now, step, *name, report)) {
        discard_stream(report, finished);
        return nullptr;
    }
    if (report.state == wire::stream_state::done) {
        finished.push_back(report.stream);
    }
    apply_report(now, step, name->slot, report);
    return &step;
}

bool step_coordinator::adopt_stream(base::millis now, step_state& step,
                                    const stream_id_parts& name,
                                    const wire::stream_report& report) {
    const auto& slot = step.slots()[name.slot];
    if (slot.phase != slot_phase::waiting || slot.attempt > name.attempt ||
        report.state == wire::stream_state::missing) {
        return false;
    }
    // The trainer's former home has started this stream.
    step.mark_placed(name.slot, report.engine, name.attempt, 0, now,
                     now + options_.stream_timeout);
    if (report.state != wire::stream_state::done) {
        // The engine's home must send its reports here from now on.
        effects_.push_back(
            place_stream{report.engine, step.start_request(name.slot)});
    }
    return true;
}

void step_coordinator::discard_stream(const wire::stream_report& report,
                                      std::vector<base::stream_id>& finished) {
    // It would take an engine's slot until its end, or be told for ever.
    if (report.state == wire::stream_state::done) {
        finished.push_back(report.stream);
    } else {
        effects_.push_back(cancel_stream{report.engine, report.stream});
    }
}

void step_coordinator::apply_report(base::millis now, step_state& step,
                                    wire::slot_index index,
                                    const wire::stream_report& report) {
    step.record_progress(index, now, report.produced > 0, report.oldest);
    if (report.state == wire::stream_state::missing ||
        is_stale(step.trainer(), report.oldest)) {
        regenerate_slot(now, step, index);
        return;
    }
    if (report.state != wire::stream_state::done) {
        return;
    }
    const auto oldest = oldest_version_in(report.chunks);
    if (!oldest || is_stale(step.trainer(), oldest)) {
        regenerate_slot(now, step, index);
        return;
    }
    step.record_progress(index, now, true, oldest);
    step.mark_finished(index, report.chunks);
}

void step_coordinator::on_placement_refused(base::millis now,
                                            const base::stream_id& stream,
                                            base::millis retry_after) {
    const auto name = parse_stream_id(stream);
    if (!name) {
        return;
    }
    const auto at = steps_.find({name->trainer, name->step});
    if (at == steps_.end() || name->slot >= at->second.slots().size()) {
        return;
    }
    const auto& slot = at->second.slots()[name->slot];
    if (slot.phase == slot_phase::placed && slot.attempt == name->attempt) {
        // Unknown to the home that refused, the stream may run. The slot gets
        // another attempt, so that no report of the one fills the other.
        if (slot.producing) {
            cancel_slot(at->second, name->slot);
        }
        at->second.mark_waiting(
            name->slot,
            now + (retry_after > 0 ? retry_after : options_.retry_delay));
    }
}

void step_coordinator::update_newest_version(base::millis now,
                                             const base::trainer_id& trainer,
                                             wire::weight_version newest) {
    auto& known = newest_versions_[trainer];
    if (newest <= known) {
        return;
    }
    known = newest;
    for (auto at = steps_.lower_bound({trainer, INT64_MIN});
         at != steps_.end() && at->first.first == trainer; ++at) {
        auto& step = at->second;
        for (wire::slot_index i = 0; i < step.slots().size(); ++i) {
            const auto& slot = step.slots()[i];
            const bool here = slot.phase == slot_phase::placed ||
                              slot.phase == slot_phase::finished;
            if (here && is_stale(trainer, slot.oldest_version)) {
                regenerate_slot(now, step, i);
            }
        }
    }
}

wire::weight_version
step_coordinator::newest_version(const base::trainer_id& trainer) const {
    const auto at = newest_versions_.find(trainer);
    return at == newest_versions_.end() ? 0 : at->second;
}

void step_coordinator::request_streams_again(
    base::millis now,
    const std::function<bool(const base::engine_id&)>& moved) {
    for (auto& [key, step] : steps_) {
        for (const auto index : step.placed_slots()) {
            const auto& slot = step.slots()[index];
            if (slot.reported_at && moved(slot.engine)) {
                request_stream_again(now, step, index, slot.priority);
            }
        }
    }
}

void step_coordinator::release_trainers(
    const std::function<bool(const base::trainer_id&)>& is_home) {
    for (auto at = steps_.begin(); at != steps_.end();) {
        at = is_home(at->first.first) ? std::next(at) : steps_.erase(at);
    }
    for (auto at = last_dropped_steps_.begin();
         at != last_dropped_steps_.end();) {
        at = is_home(at->first) ? std::next(at) : last_dropped_steps_.erase(at);
    }
    for (auto at = waiting_pulls_.begin(); at != waiting_pulls_.end();) {
        if (is_home(at->first.first)) {
            ++at;
            continue;
        }
        reject_pull(at->second, wire::reason::home_moved);
        at = waiting_pulls_.erase(at);
    }
}

void step_coordinator::tick(base::millis now) {
    if (!ticked_recently(now)) {
        deliver_not_before_ = now + options_.post_pause_delay;
    }
    last_tick_at_ = now;
    for (auto& [key, step] : steps_) {
        if (step.missing_count() > 0) {
            check_silent_streams(now, step);
            place_waiting_slots(now, step);
            handle_stragglers(now, step);
        }
    }
    for (auto at = waiting_pulls_.begin(); at != waiting_pulls_.end();) {
        const bool ended = now >= at->second.deadline;
        at = ended && try_respond(now, at->second) ? waiting_pulls_.erase(at)
                                                   : std::next(at);
    }
}

void step_coordinator::check_silent_streams(base::millis now,
                                            step_state& step) {
    while (const auto index = step.due_placed(now)) {
        const auto& slot = step.slots()[*index];
        if (slot.reported_at &&
            now - *slot.reported_at < options_.stream_timeout) {
            step.schedule_check(*index,
                                *slot.reported_at + options_.stream_timeout);
        } else if (slot.reported_at) {
            // The engine's home or the engine itself is gone. The same
            // silence again means that the engine is; until then its new home
            // finds the stream by its id and nothing is generated twice.
            request_stream_again(now, step, *index, slot.priority);
        } else {
            regenerate_slot(now, step, *index);
        }
    }
}

void step_coordinator::request_stream_again(base::millis now, step_state& step,
                                            wire::slot_index index,
                                            int priority) {
    step.mark_requested(index, priority, now, now + options_.stream_timeout);
    effects_.push_back(
        place_stream{step.slots()[index].engine, step.start_request(index)});
}

void step_coordinator::place_waiting_slots(base::millis now, step_state& step) {
    if (now < step.place_not_before) {
        return;
    }
    while (const auto index = step.due_waiting(now)) {
        if (!place_slot(now, step, *index)) {
            step.place_not_before = now + options_.retry_delay;
            return;
        }
    }
}

bool step_coordinator::place_slot(base::millis now, step_state& step,
                                  wire::slot_index index) {
    const auto chosen = choose_engine_(
        {step.trainer(), &step.prompt_of(index), step.is_almost_complete()});
    if (!chosen) {
        return false;
    }
    step.mark_placed(index, chosen->engine, step.slots()[index].attempt,
                     chosen->priority, now, now + options_.stream_timeout);
    effects_.push_back(place_stream{chosen->engine, step.start_request(index)});
    return true;
}

bool step_coordinator::ticked_recently(base::millis now) const {
    return !last_tick_at_ || now - *last_tick_at_ <= options_.pause_threshold;
}

bool step_coordinator::try_respond(base::millis now,
                                   const waiting_pull& waiting) {
    auto& step = steps_.at(waiting.step);
    const bool ended = now >= waiting.deadline;
    if (step.finished_slots().empty() && step.missing_count() > 0 && !ended) {
        return false;
    }
    if (!check_deliverable(now, waiting)) {
        return true;
    }
    wire::pull_response answer;
    answer.samples = collect_samples(now, step, waiting.request);
    if (answer.samples.empty() && step.missing_count() > 0 && !ended) {
        return false;
    }
    answer.pull = waiting.request.pull;
    answer.result = wire::outcome::completed;
    answer.node = self_;
    answer.missing = step.missing_count() -
                     static_cast<std::uint32_t>(answer.samples.size());
    effects_.push_back(send_pull_response{waiting.waiter, std::move(answer)});
    return true;
}

bool step_coordinator::check_deliverable(base::millis now,
                                         const waiting_pull& waiting) {
    if (!staleness_bound_(waiting.step.first)) {
        reject_pull(waiting, wire::reason::unknown_trainer);
        return false;
    }
    // A publisher waits for this node's answer no longer than a pull can
    // live. A process that was paused may hold a pull of before, or read one
    // from its socket, and not know the version that was acknowledged
    // meanwhile: the trainer would get a sample outside its bound.
    if (now > waiting.deadline + options_.pull_margin) {
        reject_pull(waiting, wire::reason::deadline_passed);
        return false;
    }
    if (!ticked_recently(now) || now < deliver_not_before_) {
        reject_pull(waiting, wire::reason::not_ready);
        return false;
    }
    return true;
}

std::vector<wire::sample>
step_coordinator::collect_samples(base::millis now, step_state& step,
                                  const wire::pull_request& request) {
    const std::size_t most =
        request.max_samples > 0 ? request.max_samples : default_max_samples;
    std::vector<wire::sample> samples;
    const std::vector<wire::slot_index> finished(step.finished_slots().begin(),
                                                 step.finished_slots().end());
    for (const auto index : finished) {
        const auto& slot = step.slots()[index];
        if (is_stale(step.trainer(), slot.oldest_version)) {
            regenerate_slot(now, step, index);
        } else if (samples.size() < most) {
            samples.push_back({index, slot.attempt, slot.engine, slot.chunks});
        }
    }
    return samples;
}

void step_coordinator::respond_to_waiting_pull(base::millis now,
                                               const step_key& step) {
    const auto at = waiting_pulls_.find(step);
    if (at != waiting_pulls_.end() && try_respond(now, at->second)) {
        waiting_pulls_.erase(at);
    }
}

void step_coordinator::reject_pull(const waiting_pull& waiting,
                                   wire::reason why) {
    wire::pull_response answer;
    answer.pull = waiting.request.pull;
    answer.result = wire::outcome::not_run;
    answer.why = why;
    answer.retry_after_ms = options_.retry_delay;
    answer.node = self_;
    effects_.push_back(send_pull_response{waiting.waiter, std::move(answer)});
}

std::vector<step_effect> step_coordinator::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hibiscus::cluster
