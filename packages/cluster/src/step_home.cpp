#include "hibiscus/cluster/step_home.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr std::size_t steps_kept = 4;
constexpr std::size_t max_samples_default = 256;
constexpr base::millis unknown_trainer_retry = 1000;

/// Returns the oldest version in `chunks`, or nothing if they are not a whole
/// text from its beginning.
std::optional<wire::weight_version>
oldest_in(const std::vector<wire::chunk>& chunks) {
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
std::vector<bool> listed_in(const std::vector<wire::slot_range>& ranges,
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

step_home::step_home(base::node_id self, step_times times,
                     placement_function place, bound_function bound,
                     straggler_function stragglers)
    : self_(std::move(self)), times_(times), place_(std::move(place)),
      bound_(std::move(bound)), stragglers_(std::move(stragglers)) {}

wire::step_answer step_home::open(base::millis now,
                                  const wire::open_step& message) {
    wire::step_answer answer;
    answer.result = wire::outcome::not_run;
    const auto dropped = dropped_.find(message.trainer);
    if (!bound_(message.trainer)) {
        answer.why = wire::reason::unknown_trainer;
        answer.retry_after_ms = unknown_trainer_retry;
        return answer;
    }
    if (dropped != dropped_.end() && message.step <= dropped->second) {
        answer.why = wire::reason::superseded;
        answer.retry_after_ms = unknown_trainer_retry;
        return answer;
    }
    learn(now, message.trainer, message.request.version);
    const auto next = steps_.lower_bound({message.trainer, INT64_MIN});
    const bool is_new =
        next == steps_.end() || next->first.first != message.trainer;
    const auto due = is_new ? now + times_.adoption : now;
    const auto at =
        steps_
            .try_emplace({message.trainer, message.step}, message.trainer,
                         message.step, message.request, due)
            .first;
    answer.result = wire::outcome::completed;
    answer.slots = static_cast<std::uint32_t>(at->second.slots().size());
    trim(message.trainer);
    return answer;
}

void step_home::trim(const base::trainer_id& trainer) {
    const auto first = steps_.lower_bound({trainer, INT64_MIN});
    const auto last = steps_.upper_bound({trainer, INT64_MAX});
    auto count = static_cast<std::size_t>(std::distance(first, last));
    for (auto at = first; at != last && count > steps_kept; --count) {
        for (const auto index : at->second.placed()) {
            cancel(at->second, index);
        }
        const auto waiting = pulls_.find(at->first);
        if (waiting != pulls_.end()) {
            refuse_pull(waiting->second, wire::reason::unknown_step);
            pulls_.erase(waiting);
        }
        dropped_[trainer] = at->first.second;
        at = steps_.erase(at);
    }
}

void step_home::pull(base::millis now, waiter_id waiter,
                     const wire::pull_step& message) {
    const step_key key{message.trainer, message.step};
    waiting_pull waiting{waiter, key, message.request,
                         now + message.request.wait_ms};
    learn(now, message.trainer, message.request.version);
    const auto earlier = pulls_.find(key);
    if (earlier != pulls_.end()) {
        // The pulls of one trainer may come by two entries and change order
        // on the way; the trainer takes only the answer to its latest.
        if (earlier->second.request.pull > message.request.pull) {
            refuse_pull(waiting, wire::reason::superseded);
            return;
        }
        refuse_pull(earlier->second, wire::reason::superseded);
        pulls_.erase(earlier);
    }
    const auto at = steps_.find(key);
    if (at == steps_.end()) {
        refuse_pull(waiting, wire::reason::unknown_step);
        return;
    }
    mark_received(now, at->second, message.request.received);
    if (!try_answer(now, waiting)) {
        pulls_.emplace(key, std::move(waiting));
    }
}

void step_home::abandon(waiter_id waiter) {
    for (auto at = pulls_.begin(); at != pulls_.end();) {
        at = at->second.waiter == waiter ? pulls_.erase(at) : std::next(at);
    }
}

void step_home::mark_received(base::millis now, step_row& step,
                              const std::vector<wire::slot_range>& ranges) {
    const auto listed = listed_in(ranges, step.slots().size());
    for (wire::slot_index i = 0; i < listed.size(); ++i) {
        const bool known = step.slots()[i].phase == slot_phase::received;
        if (listed[i] && !known) {
            cancel(step, i);
            step.receive(i);
        } else if (!listed[i] && known) {
            // The trainer has lost what it had, for instance by a restart. It
            // alone knows, and without this it would wait for ever.
            step.wait(i, now);
        }
    }
}

bool step_home::too_old(const base::trainer_id& trainer,
                        std::optional<wire::weight_version> oldest) const {
    const auto bound = bound_(trainer);
    return bound && oldest && *oldest < newest(trainer) - *bound;
}

void step_home::cancel(const step_row& step, wire::slot_index index) {
    const auto& slot = step.slots()[index];
    if (slot.phase == slot_phase::placed) {
        effects_.push_back(
            cancel_stream{slot.engine, stream_of(step.trainer(), step.number(),
                                                 index, slot.attempt)});
    }
}

void step_home::regenerate(base::millis now, step_row& step,
                           wire::slot_index index) {
    cancel(step, index);
    step.wait(index, now);
}

std::vector<base::stream_id>
step_home::report(base::millis now, const wire::sample_report& report) {
    std::vector<base::stream_id> finished;
    std::set<step_key> touched;
    for (const auto& one : report.streams) {
        const auto* step = report_one(now, one, finished);
        if (step != nullptr && !step->finished().empty()) {
            touched.emplace(step->trainer(), step->number());
        }
    }
    for (const auto& key : touched) {
        answer_waiting(now, key);
    }
    return finished;
}

step_row* step_home::report_one(base::millis now,
                                const wire::stream_report& report,
                                std::vector<base::stream_id>& finished) {
    const auto name = parse_stream(report.stream);
    if (!name) {
        return nullptr;
    }
    const auto at = steps_.find({name->trainer, name->step});
    if (at == steps_.end()) {
        // Either the step was dropped, or the trainer has moved: then the
        // streams belong to its new home and must not be stopped.
        const auto dropped = dropped_.find(name->trainer);
        if (dropped != dropped_.end() && name->step <= dropped->second) {
            not_wanted(report, finished);
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
    if (!ours && !adopt(now, step, *name, report)) {
        not_wanted(report, finished);
        return nullptr;
    }
    if (report.state == wire::stream_state::done) {
        finished.push_back(report.stream);
    }
    take_report(now, step, name->slot, report);
    return &step;
}

bool step_home::adopt(base::millis now, step_row& step, const stream_name& name,
                      const wire::stream_report& report) {
    const auto& slot = step.slots()[name.slot];
    if (slot.phase != slot_phase::waiting || slot.attempt > name.attempt ||
        report.state == wire::stream_state::missing) {
        return false;
    }
    // The trainer's former home has started this stream.
    step.place(name.slot, report.engine, name.attempt, 0, now,
               now + times_.silence);
    if (report.state != wire::stream_state::done) {
        // The engine's home must send its reports here from now on.
        effects_.push_back(
            place_stream{report.engine, step.start_of(name.slot)});
    }
    return true;
}

void step_home::not_wanted(const wire::stream_report& report,
                           std::vector<base::stream_id>& finished) {
    // It would take an engine's slot until its end, or be told for ever.
    if (report.state == wire::stream_state::done) {
        finished.push_back(report.stream);
    } else {
        effects_.push_back(cancel_stream{report.engine, report.stream});
    }
}

void step_home::take_report(base::millis now, step_row& step,
                            wire::slot_index index,
                            const wire::stream_report& report) {
    step.hear(index, now, report.produced > 0, report.oldest);
    if (report.state == wire::stream_state::missing ||
        too_old(step.trainer(), report.oldest)) {
        regenerate(now, step, index);
        return;
    }
    if (report.state != wire::stream_state::done) {
        return;
    }
    const auto oldest = oldest_in(report.chunks);
    if (!oldest || too_old(step.trainer(), oldest)) {
        regenerate(now, step, index);
        return;
    }
    step.hear(index, now, true, oldest);
    step.finish(index, report.chunks);
}

void step_home::refused(base::millis now, const base::stream_id& stream,
                        base::millis retry_after) {
    const auto name = parse_stream(stream);
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
            cancel(at->second, name->slot);
        }
        at->second.wait(name->slot,
                        now + (retry_after > 0 ? retry_after : times_.retry));
    }
}

void step_home::learn(base::millis now, const base::trainer_id& trainer,
                      wire::weight_version newest) {
    auto& known = newest_[trainer];
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
            if (here && too_old(trainer, slot.oldest)) {
                regenerate(now, step, i);
            }
        }
    }
}

wire::weight_version step_home::newest(const base::trainer_id& trainer) const {
    const auto at = newest_.find(trainer);
    return at == newest_.end() ? 0 : at->second;
}

void step_home::ask_again(
    base::millis now,
    const std::function<bool(const base::engine_id&)>& moved) {
    for (auto& [key, step] : steps_) {
        for (const auto index : step.placed()) {
            const auto& slot = step.slots()[index];
            if (slot.heard_at && moved(slot.engine)) {
                ask_again(now, step, index, slot.priority);
            }
        }
    }
}

void step_home::release(
    const std::function<bool(const base::trainer_id&)>& is_home) {
    for (auto at = steps_.begin(); at != steps_.end();) {
        at = is_home(at->first.first) ? std::next(at) : steps_.erase(at);
    }
    for (auto at = dropped_.begin(); at != dropped_.end();) {
        at = is_home(at->first) ? std::next(at) : dropped_.erase(at);
    }
    for (auto at = pulls_.begin(); at != pulls_.end();) {
        if (is_home(at->first.first)) {
            ++at;
            continue;
        }
        refuse_pull(at->second, wire::reason::home_moved);
        at = pulls_.erase(at);
    }
}

void step_home::tick(base::millis now) {
    if (!awake(now)) {
        refreshed_at_ = now + times_.refresh;
    }
    ticked_at_ = now;
    for (auto& [key, step] : steps_) {
        if (step.missing() > 0) {
            check_silent(now, step);
            place_waiting(now, step);
            mind_stragglers(now, step);
        }
    }
    for (auto at = pulls_.begin(); at != pulls_.end();) {
        const bool ended = now >= at->second.until;
        at = ended && try_answer(now, at->second) ? pulls_.erase(at)
                                                  : std::next(at);
    }
}

void step_home::check_silent(base::millis now, step_row& step) {
    while (const auto index = step.due_placed(now)) {
        const auto& slot = step.slots()[*index];
        if (slot.heard_at && now - *slot.heard_at < times_.silence) {
            step.check_at(*index, *slot.heard_at + times_.silence);
        } else if (slot.heard_at) {
            // The engine's home or the engine itself is gone. The same
            // silence again means that the engine is; until then its new home
            // finds the stream by its id and nothing is generated twice.
            ask_again(now, step, *index, slot.priority);
        } else {
            regenerate(now, step, *index);
        }
    }
}

void step_home::ask_again(base::millis now, step_row& step,
                          wire::slot_index index, int priority) {
    step.ask_again(index, priority, now, now + times_.silence);
    effects_.push_back(
        place_stream{step.slots()[index].engine, step.start_of(index)});
}

void step_home::place_waiting(base::millis now, step_row& step) {
    if (now < step.place_not_before) {
        return;
    }
    while (const auto index = step.due_waiting(now)) {
        if (!place_slot(now, step, *index)) {
            step.place_not_before = now + times_.retry;
            return;
        }
    }
}

bool step_home::place_slot(base::millis now, step_row& step,
                           wire::slot_index index) {
    const auto chosen =
        place_({step.trainer(), &step.prompt_of(index), step.is_ending()});
    if (!chosen) {
        return false;
    }
    step.place(index, chosen->engine, step.slots()[index].attempt,
               chosen->priority, now, now + times_.silence);
    effects_.push_back(place_stream{chosen->engine, step.start_of(index)});
    return true;
}

bool step_home::awake(base::millis now) const {
    return !ticked_at_ || now - *ticked_at_ <= times_.pause;
}

bool step_home::try_answer(base::millis now, const waiting_pull& waiting) {
    auto& step = steps_.at(waiting.step);
    const bool ended = now >= waiting.until;
    if (step.finished().empty() && step.missing() > 0 && !ended) {
        return false;
    }
    if (!may_deliver(now, waiting)) {
        return true;
    }
    wire::pull_answer answer;
    answer.samples = samples_for(now, step, waiting.request);
    if (answer.samples.empty() && step.missing() > 0 && !ended) {
        return false;
    }
    answer.pull = waiting.request.pull;
    answer.result = wire::outcome::completed;
    answer.node = self_;
    answer.missing =
        step.missing() - static_cast<std::uint32_t>(answer.samples.size());
    effects_.push_back(answer_pull{waiting.waiter, std::move(answer)});
    return true;
}

bool step_home::may_deliver(base::millis now, const waiting_pull& waiting) {
    if (!bound_(waiting.step.first)) {
        refuse_pull(waiting, wire::reason::unknown_trainer);
        return false;
    }
    // A publisher waits for this node's answer no longer than a pull can
    // live. A process that was paused may hold a pull of before, or read one
    // from its socket, and not know the version that was acknowledged
    // meanwhile: the trainer would get a sample outside its bound.
    if (now > waiting.until + times_.pull_margin) {
        refuse_pull(waiting, wire::reason::deadline_passed);
        return false;
    }
    if (!awake(now) || now < refreshed_at_) {
        refuse_pull(waiting, wire::reason::not_ready);
        return false;
    }
    return true;
}

std::vector<wire::sample>
step_home::samples_for(base::millis now, step_row& step,
                       const wire::pull_request& request) {
    const std::size_t most =
        request.max_samples > 0 ? request.max_samples : max_samples_default;
    std::vector<wire::sample> samples;
    const std::vector<wire::slot_index> finished(step.finished().begin(),
                                                 step.finished().end());
    for (const auto index : finished) {
        const auto& slot = step.slots()[index];
        if (too_old(step.trainer(), slot.oldest)) {
            regenerate(now, step, index);
        } else if (samples.size() < most) {
            samples.push_back({index, slot.attempt, slot.engine, slot.chunks});
        }
    }
    return samples;
}

void step_home::answer_waiting(base::millis now, const step_key& step) {
    const auto at = pulls_.find(step);
    if (at != pulls_.end() && try_answer(now, at->second)) {
        pulls_.erase(at);
    }
}

void step_home::refuse_pull(const waiting_pull& waiting, wire::reason why) {
    wire::pull_answer answer;
    answer.pull = waiting.request.pull;
    answer.result = wire::outcome::not_run;
    answer.why = why;
    answer.retry_after_ms = times_.retry;
    answer.node = self_;
    effects_.push_back(answer_pull{waiting.waiter, std::move(answer)});
}

std::vector<step_effect> step_home::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hibiscus::cluster
