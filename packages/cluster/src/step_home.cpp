#include "hibiscus/cluster/step_home.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/base/result.hpp"

#include <algorithm>
#include <charconv>

namespace hibiscus::cluster {

namespace {

constexpr std::size_t steps_kept = 4;
constexpr std::uint32_t straggler_share = 10;
constexpr std::size_t max_samples_default = 256;

/// The parts of a stream's id.
struct stream_name {
    base::trainer_id trainer;
    wire::step_number step = 0;
    wire::slot_index slot = 0;
    std::uint32_t attempt = 0;
};

/// Reads the number after the last '/' of `text` and cuts it off. Returns
/// false if there is none.
template <class T>
bool cut_number(std::string_view& text, T& number) {
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos) {
        return false;
    }
    const auto digits = text.substr(slash + 1);
    text = text.substr(0, slash);
    const char* last = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), last, number);
    return parsed.ec == std::errc() && parsed.ptr == last;
}

std::optional<stream_name> parse_stream(const base::stream_id& id) {
    stream_name name;
    std::string_view text = id.str();
    if (!cut_number(text, name.attempt) || !cut_number(text, name.slot) ||
        !cut_number(text, name.step)) {
        return std::nullopt;
    }
    name.trainer = base::trainer_id(std::string(text));
    return name;
}

/// Returns the order that starts the stream of a slot's present attempt.
wire::stream_start start_of(const step_row& step, std::size_t index,
                            int priority) {
    const auto& slot = step.slots[index];
    const auto& group = step.request.groups[slot.group];
    const auto stream =
        stream_of(step.trainer, step.number,
                  static_cast<wire::slot_index>(index), slot.attempt);
    return {stream,           step.trainer, group.prompt,
            group.max_tokens, priority,     base::stable_hash(stream.str())};
}

} // namespace

base::stream_id stream_of(const base::trainer_id& trainer,
                          wire::step_number step, wire::slot_index slot,
                          std::uint32_t attempt) {
    return base::stream_id(trainer.str() + "/" + std::to_string(step) + "/" +
                           std::to_string(slot) + "/" +
                           std::to_string(attempt));
}

step_home::step_home(base::node_id self, step_times times,
                     placement_function place, bound_function bound)
    : self_(std::move(self)), times_(times), place_(std::move(place)),
      bound_(std::move(bound)) {}

wire::step_answer step_home::open(base::millis now,
                                  const wire::open_step& message) {
    wire::step_answer answer;
    if (!bound_(message.trainer)) {
        answer.result = wire::outcome::not_run;
        answer.why = wire::reason::unknown_trainer;
        answer.retry_after_ms = 1000;
        return answer;
    }
    learn(now, message.trainer, message.request.version);
    auto& step = steps_[{message.trainer, message.step}];
    if (step.slots.empty()) {
        step.trainer = message.trainer;
        step.number = message.step;
        step.request = message.request;
        step.opened_at = now;
        for (std::uint32_t g = 0; g < message.request.groups.size(); ++g) {
            slot_row slot;
            slot.group = g;
            step.slots.insert(step.slots.end(),
                              message.request.groups[g].samples, slot);
        }
        step.missing = static_cast<std::uint32_t>(step.slots.size());
    }
    answer.result = wire::outcome::completed;
    answer.slots = static_cast<std::uint32_t>(step.slots.size());
    trim(message.trainer);
    return answer;
}

void step_home::trim(const base::trainer_id& trainer) {
    const auto first = steps_.lower_bound({trainer, INT64_MIN});
    const auto last = steps_.upper_bound({trainer, INT64_MAX});
    auto count = static_cast<std::size_t>(std::distance(first, last));
    for (auto at = first; at != last && count > steps_kept; --count) {
        for (auto& slot : at->second.slots) {
            regenerate(at->second, slot);
        }
        at = steps_.erase(at);
    }
}

void step_home::pull(base::millis now, waiter_id waiter,
                     const wire::pull_step& message) {
    const step_key key{message.trainer, message.step};
    waiting_pull waiting{waiter, key, message.request,
                         now + message.request.wait_ms};
    learn(now, message.trainer, message.request.version);
    for (const auto& earlier : pulls_) {
        if (earlier.step == key) {
            refuse_pull(earlier, wire::reason::superseded);
        }
    }
    pulls_.erase(
        std::remove_if(pulls_.begin(), pulls_.end(),
                       [&](const waiting_pull& p) { return p.step == key; }),
        pulls_.end());
    const auto at = steps_.find(key);
    if (at == steps_.end()) {
        refuse_pull(waiting, wire::reason::unknown_step);
        return;
    }
    mark_received(at->second, message.request.received);
    if (!try_answer(waiting, message.request.wait_ms <= 0)) {
        pulls_.push_back(std::move(waiting));
    }
}

void step_home::abandon(waiter_id waiter) {
    pulls_.erase(std::remove_if(
                     pulls_.begin(), pulls_.end(),
                     [&](const waiting_pull& p) { return p.waiter == waiter; }),
                 pulls_.end());
}

void step_home::mark_received(step_row& step,
                              const std::vector<wire::slot_range>& ranges) {
    for (const auto& range : ranges) {
        const std::size_t end = std::min<std::size_t>(
            std::size_t{range.last} + 1, step.slots.size());
        for (std::size_t i = range.first; i < end; ++i) {
            auto& slot = step.slots[i];
            if (slot.phase == slot_phase::received) {
                continue;
            }
            regenerate(step, slot);
            slot.phase = slot_phase::received;
            --step.missing;
        }
    }
}

bool step_home::too_old(const step_row& step, const slot_row& slot,
                        wire::weight_version newest) const {
    const auto bound = bound_(step.trainer);
    return bound && slot.oldest && *slot.oldest < newest - *bound;
}

void step_home::regenerate(step_row& step, slot_row& slot) {
    if (slot.phase == slot_phase::placed) {
        const auto index =
            static_cast<wire::slot_index>(&slot - step.slots.data());
        effects_.push_back(
            cancel_stream{slot.engine, stream_of(step.trainer, step.number,
                                                 index, slot.attempt)});
    }
    if (slot.phase != slot_phase::waiting) {
        ++slot.attempt;
    }
    slot.phase = slot_phase::waiting;
    slot.oldest.reset();
    slot.chunks.clear();
}

step_home::slot_place step_home::find(const base::stream_id& stream) {
    const auto name = parse_stream(stream);
    if (!name) {
        return {};
    }
    const auto at = steps_.find({name->trainer, name->step});
    if (at == steps_.end() || name->slot >= at->second.slots.size()) {
        return {};
    }
    auto& slot = at->second.slots[name->slot];
    if (slot.attempt != name->attempt || slot.phase != slot_phase::placed) {
        return {};
    }
    return {&at->second, &slot};
}

std::vector<base::stream_id>
step_home::report(base::millis now, const wire::sample_report& report) {
    std::vector<base::stream_id> finished;
    for (const auto& one : report.streams) {
        report_one(now, one, finished);
    }
    answer_waiting(now);
    return finished;
}

void step_home::report_one(base::millis now, const wire::stream_report& report,
                           std::vector<base::stream_id>& finished) {
    if (report.state == wire::stream_state::done) {
        finished.push_back(report.stream);
    }
    const auto place = find(report.stream);
    if (place.slot == nullptr) {
        // The stream is of an attempt that was given up, or of a step that is
        // over. It would take an engine's slot until its end.
        if (report.state != wire::stream_state::done) {
            effects_.push_back(cancel_stream{report.engine, report.stream});
        }
        return;
    }
    auto& slot = *place.slot;
    slot.heard_at = now;
    slot.oldest = report.oldest;
    if (report.state == wire::stream_state::missing) {
        regenerate(*place.step, slot);
        return;
    }
    if (too_old(*place.step, slot, newest(place.step->trainer))) {
        regenerate(*place.step, slot);
        return;
    }
    if (report.state == wire::stream_state::done) {
        slot.chunks = report.chunks;
        slot.phase = slot_phase::finished;
    }
}

void step_home::refused(base::millis now, const base::stream_id& stream,
                        base::millis retry_after) {
    const auto place = find(stream);
    if (place.slot != nullptr) {
        place.slot->phase = slot_phase::waiting;
        place.slot->not_before =
            now + (retry_after > 0 ? retry_after : times_.retry);
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
        for (auto& slot : at->second.slots) {
            if (slot.phase != slot_phase::received &&
                too_old(at->second, slot, newest)) {
                regenerate(at->second, slot);
            }
        }
    }
    answer_waiting(now);
}

wire::weight_version step_home::newest(const base::trainer_id& trainer) const {
    const auto at = newest_.find(trainer);
    return at == newest_.end() ? 0 : at->second;
}

void step_home::release(
    const std::function<bool(const base::trainer_id&)>& is_home) {
    for (auto at = steps_.begin(); at != steps_.end();) {
        at = is_home(at->first.first) ? std::next(at) : steps_.erase(at);
    }
    for (auto at = pulls_.begin(); at != pulls_.end();) {
        if (is_home(at->step.first)) {
            ++at;
            continue;
        }
        refuse_pull(*at, wire::reason::home_moved);
        at = pulls_.erase(at);
    }
}

void step_home::tick(base::millis now) {
    for (auto& [key, step] : steps_) {
        if (step.missing > 0) {
            retry_silent(now, step);
            place_waiting(now, step);
        }
    }
    answer_waiting(now);
}

void step_home::retry_silent(base::millis now, step_row& step) {
    for (std::size_t i = 0; i < step.slots.size(); ++i) {
        auto& slot = step.slots[i];
        if (slot.phase != slot_phase::placed ||
            now - slot.heard_at <= times_.silence) {
            continue;
        }
        // The engine's home or the engine itself is gone. The same silence
        // again means that the engine is; until then its new home finds the
        // stream by its id and nothing is generated twice.
        const bool asked_again = slot.placed_at < slot.heard_at;
        if (asked_again) {
            slot.placed_at = now;
            slot.heard_at = now;
            effects_.push_back(place_stream{slot.engine, start_of(step, i, 0)});
        } else {
            regenerate(step, slot);
        }
    }
}

void step_home::place_waiting(base::millis now, step_row& step) {
    for (std::size_t i = 0; i < step.slots.size(); ++i) {
        const auto& slot = step.slots[i];
        if (slot.phase == slot_phase::waiting && slot.not_before <= now &&
            !place_slot(now, step, i)) {
            return;
        }
    }
}

bool step_home::place_slot(base::millis now, step_row& step,
                           std::size_t index) {
    auto& slot = step.slots[index];
    const auto& group = step.request.groups[slot.group];
    const bool straggler = step.missing * straggler_share <= step.slots.size();
    const auto chosen = place_({step.trainer, &group.prompt, straggler});
    if (!chosen) {
        return false;
    }
    slot.phase = slot_phase::placed;
    slot.engine = chosen->engine;
    slot.placed_at = now;
    slot.heard_at = now;
    effects_.push_back(
        place_stream{chosen->engine, start_of(step, index, chosen->priority)});
    return true;
}

bool step_home::try_answer(const waiting_pull& waiting, bool last_chance) {
    auto& step = steps_.at(waiting.step);
    const std::size_t most = waiting.request.max_samples > 0
                                 ? waiting.request.max_samples
                                 : max_samples_default;
    wire::pull_answer answer;
    for (std::size_t i = 0; i < step.slots.size(); ++i) {
        const auto& slot = step.slots[i];
        if (slot.phase == slot_phase::finished &&
            answer.samples.size() < most) {
            answer.samples.push_back({static_cast<wire::slot_index>(i),
                                      slot.attempt, slot.engine, slot.chunks});
        }
    }
    if (answer.samples.empty() && step.missing > 0 && !last_chance) {
        return false;
    }
    answer.pull = waiting.request.pull;
    answer.result = wire::outcome::completed;
    answer.node = self_;
    answer.missing =
        step.missing - static_cast<std::uint32_t>(answer.samples.size());
    effects_.push_back(answer_pull{waiting.waiter, std::move(answer)});
    return true;
}

void step_home::answer_waiting(base::millis now) {
    for (auto at = pulls_.begin(); at != pulls_.end();) {
        at = try_answer(*at, now >= at->until) ? pulls_.erase(at)
                                               : std::next(at);
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
