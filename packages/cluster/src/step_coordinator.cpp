#include "hibiscus/cluster/step_coordinator.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr std::size_t max_steps_per_trainer = 4;
constexpr std::size_t default_max_samples = 256;
constexpr base::millis rejected_step_retry_ms = 1000;

/// Returns the oldest version in `chunks`, or nothing if `chunks` is empty or
/// not a complete text from its first chunk.
std::optional<wire::weight_version>
oldest_version_in(const std::vector<wire::chunk>& chunks) {
    std::optional<wire::weight_version> oldest;
    std::uint32_t next = 0;
    for (const auto& chunk : chunks) {
        if (chunk.seq != next++) {
            return std::nullopt;
        }
        oldest = std::min(oldest.value_or(chunk.version), chunk.version);
    }
    return oldest;
}

/// Returns a bitmap of `slots` bits in which the slots in `ranges` are set.
std::vector<bool> to_bitmap(const std::vector<wire::slot_range>& ranges,
                            std::size_t slots) {
    std::vector<bool> is_listed(slots, false);
    for (const auto& range : ranges) {
        const auto end =
            std::min<std::size_t>(std::size_t{range.last} + 1, slots);
        for (std::size_t i = range.first; i < end; ++i) {
            is_listed[i] = true;
        }
    }
    return is_listed;
}

} // namespace

step_coordinator::step_coordinator(base::node_id self, step_options options,
                                   placement_function choose_engine,
                                   staleness_bound_function staleness_bound,
                                   straggler_policy_function policy)
    : self_(std::move(self)), options_(options),
      choose_engine_(std::move(choose_engine)),
      staleness_bound_(std::move(staleness_bound)),
      straggler_policy_(std::move(policy)) {}

wire::step_response
step_coordinator::open_step(base::millis now, const wire::open_step& message) {
    wire::step_response response;
    response.result = wire::outcome::not_run;
    const auto dropped = last_dropped_steps_.find(message.trainer);
    if (!staleness_bound_(message.trainer)) {
        response.why = wire::reason::unknown_trainer;
        response.retry_after_ms = rejected_step_retry_ms;
        return response;
    }
    if (dropped != last_dropped_steps_.end() &&
        message.step <= dropped->second) {
        response.why = wire::reason::superseded;
        response.retry_after_ms = rejected_step_retry_ms;
        return response;
    }
    update_newest_version(now, message.trainer, message.request.version);
    const auto next = steps_.lower_bound({message.trainer, INT64_MIN});
    const bool is_first_step =
        next == steps_.end() || next->first.first != message.trainer;
    const auto due = is_first_step ? now + options_.adoption_delay : now;
    const auto it =
        steps_
            .try_emplace({message.trainer, message.step}, message.trainer,
                         message.step, message.request, due)
            .first;
    response.result = wire::outcome::completed;
    response.slots = static_cast<std::uint32_t>(it->second.slots().size());
    drop_old_steps(message.trainer);
    return response;
}

void step_coordinator::drop_old_steps(const base::trainer_id& trainer) {
    const auto first = steps_.lower_bound({trainer, INT64_MIN});
    const auto last = steps_.upper_bound({trainer, INT64_MAX});
    auto count = static_cast<std::size_t>(std::distance(first, last));
    for (auto it = first; it != last && count > max_steps_per_trainer;
         --count) {
        for (const auto index : it->second.placed_slots()) {
            cancel_slot(it->second, index);
        }
        const auto pull = waiting_pulls_.find(it->first);
        if (pull != waiting_pulls_.end()) {
            reject_pull(pull->second, wire::reason::unknown_step);
            waiting_pulls_.erase(pull);
        }
        last_dropped_steps_[trainer] = it->first.second;
        it = steps_.erase(it);
    }
}

void step_coordinator::pull_samples(base::millis now, waiter_id waiter,
                                    const wire::pull_step& message) {
    const step_key key{message.trainer, message.step};
    waiting_pull pull{waiter, key, message.request,
                      now + message.request.wait_ms};
    update_newest_version(now, message.trainer, message.request.version);
    const auto earlier = waiting_pulls_.find(key);
    if (earlier != waiting_pulls_.end()) {
        // The pulls of a trainer may arrive through two entry nodes and in the
        // wrong order; the trainer only accepts the response to its latest
        // pull.
        if (earlier->second.request.pull > message.request.pull) {
            reject_pull(pull, wire::reason::superseded);
            return;
        }
        reject_pull(earlier->second, wire::reason::superseded);
        waiting_pulls_.erase(earlier);
    }
    const auto it = steps_.find(key);
    if (it == steps_.end()) {
        reject_pull(pull, wire::reason::unknown_step);
        return;
    }
    mark_received(now, it->second, message.request.received);
    if (!try_respond(now, pull)) {
        waiting_pulls_.emplace(key, std::move(pull));
    }
}

void step_coordinator::cancel_pull(waiter_id waiter) {
    for (auto it = waiting_pulls_.begin(); it != waiting_pulls_.end();) {
        it = it->second.waiter == waiter ? waiting_pulls_.erase(it)
                                         : std::next(it);
    }
}

void step_coordinator::mark_received(
    base::millis now, step_state& step,
    const std::vector<wire::slot_range>& ranges) {
    const auto is_listed = to_bitmap(ranges, step.slots().size());
    for (wire::slot_index i = 0; i < is_listed.size(); ++i) {
        const bool was_received = step.slots()[i].phase == slot_phase::received;
        if (is_listed[i] && !was_received) {
            cancel_slot(step, i);
            step.mark_received(i);
        } else if (!is_listed[i] && was_received) {
            // The trainer has lost the sample, for instance in a restart.
            // Without another generation it would wait forever.
            step.mark_waiting(i, now);
        }
    }
}

bool step_coordinator::is_stale(
    const base::trainer_id& trainer,
    std::optional<wire::weight_version> oldest) const {
    const auto staleness_bound = staleness_bound_(trainer);
    return staleness_bound && oldest &&
           *oldest < newest_version(trainer) - *staleness_bound;
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
    std::set<step_key> steps_with_samples;
    for (const auto& stream : report.streams) {
        const auto* step = on_stream_report(now, stream, finished);
        if (step != nullptr && !step->finished_slots().empty()) {
            steps_with_samples.emplace(step->trainer(), step->number());
        }
    }
    for (const auto& key : steps_with_samples) {
        respond_to_waiting_pull(now, key);
    }
    return finished;
}

step_state*
step_coordinator::on_stream_report(base::millis now,
                                   const wire::stream_report& report,
                                   std::vector<base::stream_id>& finished) {
    const auto parts = parse_stream_id(report.stream);
    if (!parts) {
        return nullptr;
    }
    const auto it = steps_.find({parts->trainer, parts->step});
    if (it == steps_.end()) {
        // Either the step was dropped, or the trainer has moved. In the second
        // case the streams belong to its new home node and must not be stopped.
        const auto dropped = last_dropped_steps_.find(parts->trainer);
        if (dropped != last_dropped_steps_.end() &&
            parts->step <= dropped->second) {
            discard_stream(report, finished);
        }
        return nullptr;
    }
    auto& step = it->second;
    if (parts->slot >= step.slots().size()) {
        return nullptr;
    }
    const auto& slot = step.slots()[parts->slot];
    const bool is_current = slot.phase == slot_phase::placed &&
                            slot.attempt == parts->attempt &&
                            slot.engine == report.engine;
    if (!is_current && !adopt_stream(now, step, *parts, report)) {
        discard_stream(report, finished);
        return nullptr;
    }
    if (report.state == wire::stream_state::done) {
        finished.push_back(report.stream);
    }
    apply_report(now, step, parts->slot, report);
    return &step;
}

bool step_coordinator::adopt_stream(base::millis now, step_state& step,
                                    const stream_id_parts& parts,
                                    const wire::stream_report& report) {
    const auto& slot = step.slots()[parts.slot];
    if (slot.phase != slot_phase::waiting || slot.attempt > parts.attempt ||
        report.state == wire::stream_state::missing) {
        return false;
    }
    // The previous home node of the trainer has started this stream.
    step.mark_placed(parts.slot, report.engine, parts.attempt, 0, now,
                     now + options_.stream_timeout);
    if (report.state != wire::stream_state::done) {
        // The engine's home node must send the reports to this node from now
        // on.
        effects_.push_back(
            place_stream{report.engine, step.start_request(parts.slot)});
    }
    return true;
}

void step_coordinator::discard_stream(const wire::stream_report& report,
                                      std::vector<base::stream_id>& finished) {
    // Otherwise the stream would occupy an engine's slot until its end, or be
    // reported forever.
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
    const auto parts = parse_stream_id(stream);
    if (!parts) {
        return;
    }
    const auto it = steps_.find({parts->trainer, parts->step});
    if (it == steps_.end() || parts->slot >= it->second.slots().size()) {
        return;
    }
    const auto& slot = it->second.slots()[parts->slot];
    if (slot.phase == slot_phase::placed && slot.attempt == parts->attempt) {
        // The stream may be running although the home node that refused it does
        // not know about it. The slot gets a new attempt number, so that a
        // report of the old stream cannot fill it.
        if (slot.producing) {
            cancel_slot(it->second, parts->slot);
        }
        it->second.mark_waiting(
            parts->slot,
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
    for (auto it = steps_.lower_bound({trainer, INT64_MIN});
         it != steps_.end() && it->first.first == trainer; ++it) {
        auto& step = it->second;
        for (wire::slot_index i = 0; i < step.slots().size(); ++i) {
            const auto& slot = step.slots()[i];
            const bool has_stream_or_sample =
                slot.phase == slot_phase::placed ||
                slot.phase == slot_phase::finished;
            if (has_stream_or_sample &&
                is_stale(trainer, slot.oldest_version)) {
                regenerate_slot(now, step, i);
            }
        }
    }
}

wire::weight_version
step_coordinator::newest_version(const base::trainer_id& trainer) const {
    const auto it = newest_versions_.find(trainer);
    return it == newest_versions_.end() ? 0 : it->second;
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
    for (auto it = steps_.begin(); it != steps_.end();) {
        it = is_home(it->first.first) ? std::next(it) : steps_.erase(it);
    }
    for (auto it = last_dropped_steps_.begin();
         it != last_dropped_steps_.end();) {
        it = is_home(it->first) ? std::next(it) : last_dropped_steps_.erase(it);
    }
    for (auto it = waiting_pulls_.begin(); it != waiting_pulls_.end();) {
        if (is_home(it->first.first)) {
            ++it;
            continue;
        }
        reject_pull(it->second, wire::reason::home_moved);
        it = waiting_pulls_.erase(it);
    }
}

void step_coordinator::tick(base::millis now) {
    if (!ticked_recently(now)) {
        deliver_not_before_ = now + options_.post_pause_delay;
    }
    last_tick_at_ = now;
    for (auto& [key, step] : steps_) {
        if (step.missing_count() > 0) {
            check_unreported_streams(now, step);
            place_waiting_slots(now, step);
            handle_stragglers(now, step);
        }
    }
    for (auto it = waiting_pulls_.begin(); it != waiting_pulls_.end();) {
        const bool deadline_passed = now >= it->second.deadline;
        it = deadline_passed && try_respond(now, it->second)
                 ? waiting_pulls_.erase(it)
                 : std::next(it);
    }
}

void step_coordinator::check_unreported_streams(base::millis now,
                                                step_state& step) {
    while (const auto index = step.due_placed(now)) {
        const auto& slot = step.slots()[*index];
        if (slot.reported_at &&
            now - *slot.reported_at < options_.stream_timeout) {
            step.schedule_check(*index,
                                *slot.reported_at + options_.stream_timeout);
        } else if (slot.reported_at) {
            // The engine or its home node has failed. A second timeout means
            // that the engine has failed. Until then, a new home node finds the
            // stream by its id, so nothing is generated twice.
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

bool step_coordinator::try_respond(base::millis now, const waiting_pull& pull) {
    auto& step = steps_.at(pull.step);
    const bool deadline_passed = now >= pull.deadline;
    if (step.finished_slots().empty() && step.missing_count() > 0 &&
        !deadline_passed) {
        return false;
    }
    if (!check_deliverable(now, pull)) {
        return true;
    }
    wire::pull_response response;
    response.samples = collect_samples(now, step, pull.request);
    if (response.samples.empty() && step.missing_count() > 0 &&
        !deadline_passed) {
        return false;
    }
    response.pull = pull.request.pull;
    response.result = wire::outcome::completed;
    response.node = self_;
    response.missing = step.missing_count() -
                       static_cast<std::uint32_t>(response.samples.size());
    effects_.push_back(send_pull_response{pull.waiter, std::move(response)});
    return true;
}

bool step_coordinator::check_deliverable(base::millis now,
                                         const waiting_pull& pull) {
    if (!staleness_bound_(pull.step.first)) {
        reject_pull(pull, wire::reason::unknown_trainer);
        return false;
    }
    // A publisher waits for this node's acknowledgement no longer than a pull
    // can be pending. A process that was paused may hold an older pull, or read
    // one from its socket, without knowing the version that was published in
    // the meantime. The trainer would then receive a sample outside its
    // staleness bound.
    if (now > pull.deadline + options_.pull_margin) {
        reject_pull(pull, wire::reason::deadline_passed);
        return false;
    }
    if (!ticked_recently(now) || now < deliver_not_before_) {
        reject_pull(pull, wire::reason::not_ready);
        return false;
    }
    return true;
}

std::vector<wire::sample>
step_coordinator::collect_samples(base::millis now, step_state& step,
                                  const wire::pull_request& request) {
    const std::size_t max_samples =
        request.max_samples > 0 ? request.max_samples : default_max_samples;
    std::vector<wire::sample> samples;
    const std::vector<wire::slot_index> finished(step.finished_slots().begin(),
                                                 step.finished_slots().end());
    for (const auto index : finished) {
        const auto& slot = step.slots()[index];
        if (is_stale(step.trainer(), slot.oldest_version)) {
            regenerate_slot(now, step, index);
        } else if (samples.size() < max_samples) {
            samples.push_back({index, slot.attempt, slot.engine, slot.chunks});
        }
    }
    return samples;
}

void step_coordinator::respond_to_waiting_pull(base::millis now,
                                               const step_key& step) {
    const auto it = waiting_pulls_.find(step);
    if (it != waiting_pulls_.end() && try_respond(now, it->second)) {
        waiting_pulls_.erase(it);
    }
}

void step_coordinator::reject_pull(const waiting_pull& pull,
                                   wire::reason reason) {
    wire::pull_response response;
    response.pull = pull.request.pull;
    response.result = wire::outcome::not_run;
    response.why = reason;
    response.retry_after_ms = options_.retry_delay;
    response.node = self_;
    effects_.push_back(send_pull_response{pull.waiter, std::move(response)});
}

std::vector<step_effect> step_coordinator::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hibiscus::cluster
