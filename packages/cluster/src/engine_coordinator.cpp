#include "hibiscus/cluster/engine_coordinator.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr int failures_until_unhealthy = 2;

/// Returns true if `chunks` is a complete text from its first chunk.
bool is_complete_text(const std::vector<wire::chunk>& chunks) {
    std::uint32_t next = 0;
    return !chunks.empty() && std::all_of(chunks.begin(), chunks.end(),
                                          [&](const wire::chunk& chunk) {
                                              return chunk.seq == next++;
                                          });
}

} // namespace

int engine_state::admitted_count() const {
    return static_cast<int>(
        std::count_if(streams.begin(), streams.end(), [](const auto& entry) {
            return entry.second.state != wire::stream_state::done;
        }));
}

std::vector<wire::trainer_streams> engine_state::admitted_by_trainer() const {
    std::map<base::trainer_id, int> counts;
    for (const auto& [id, admitted] : streams) {
        if (admitted.state != wire::stream_state::done) {
            ++counts[admitted.start.trainer];
        }
    }
    std::vector<wire::trainer_streams> result;
    result.reserve(counts.size());
    for (const auto& [trainer, count] : counts) {
        result.push_back({trainer, count});
    }
    return result;
}

wire::weight_version
engine_state::served_version_of(const base::trainer_id& trainer) const {
    for (const auto& served : serving) {
        if (served.trainer == trainer) {
            return served.version;
        }
    }
    return 0;
}

engine_coordinator::engine_coordinator(base::node_id self,
                                       engine_options options,
                                       may_swap_function may_swap)
    : self_(std::move(self)), options_(options),
      may_swap_(std::move(may_swap)) {}

void engine_coordinator::assign_engines(
    base::millis now, const std::map<base::engine_id, engine_traits>& engines) {
    for (auto it = engines_.begin(); it != engines_.end();) {
        it = engines.count(it->first) == 0 ? engines_.erase(it) : std::next(it);
    }
    for (const auto& [id, traits] : engines) {
        const auto [it, inserted] = engines_.try_emplace(id);
        it->second.traits = traits;
        if (!inserted) {
            continue;
        }
        it->second.responded_at = now;
        // An order of the previous home node may still be in flight. An engine
        // that checks fencing tokens rejects it once it has received a later
        // one. For other engines, wait until the order has expired.
        it->second.order_not_before =
            traits.checks_fencing ? now : now + traits.order_lifetime;
    }
}

wire::place_response
engine_coordinator::admit_stream(base::millis now,
                                 const wire::place_sample& message) {
    const auto it = engines_.find(message.engine);
    if (it == engines_.end()) {
        return {wire::outcome::not_run, wire::reason::home_moved,
                options_.retry_after};
    }
    auto& engine = it->second;
    const auto known = engine.streams.find(message.start.stream);
    if (known != engine.streams.end()) {
        auto& admitted = known->second;
        admitted.report_to = message.home;
        admitted.report_at = now;
        if (message.start.priority > admitted.start.priority &&
            admitted.state != wire::stream_state::done) {
            admitted.start.priority = message.start.priority;
            effects_.push_back(start_at_engine{message.engine, admitted.start});
        }
        return {wire::outcome::completed, wire::reason::none, 0};
    }
    if (engine.traits.leaving || !is_healthy(now, engine)) {
        return {wire::outcome::not_run, wire::reason::no_backend,
                options_.retry_after};
    }
    if (engine.admitted_count() >=
        engine.traits.slots + engine.traits.queue_limit) {
        return {wire::outcome::not_run, wire::reason::overloaded,
                options_.retry_after};
    }
    admitted_stream admitted;
    admitted.start = message.start;
    admitted.report_to = message.home;
    admitted.report_at = now + options_.report_interval;
    engine.streams.emplace(message.start.stream, std::move(admitted));
    effects_.push_back(start_at_engine{message.engine, message.start});
    return {wire::outcome::completed, wire::reason::none, 0};
}

void engine_coordinator::cancel_streams(const wire::cancel_streams& message) {
    const auto it = engines_.find(message.engine);
    for (const auto& stream : message.streams) {
        if (it != engines_.end()) {
            auto& streams = it->second.streams;
            const auto admitted = streams.find(stream);
            // The previous home node of a trainer may resume after a pause and
            // stop a stream that now belongs to the current home node, which
            // would lose the sample.
            if (admitted != streams.end() && !message.home.empty() &&
                admitted->second.report_to != message.home) {
                continue;
            }
            streams.erase(stream);
        }
        effects_.push_back(stop_at_engine{message.engine, stream});
    }
}

void engine_coordinator::acknowledge_reports(const wire::sample_ack& message) {
    for (const auto& stream : message.streams) {
        for (auto& [id, engine] : engines_) {
            if (engine.streams.erase(stream) > 0) {
                // The engine keeps the text until the stream is stopped.
                effects_.push_back(stop_at_engine{id, stream});
            }
        }
    }
}

wire::engine_poll
engine_coordinator::next_poll(const base::engine_id& engine) const {
    wire::engine_poll poll;
    const auto it = engines_.find(engine);
    if (it == engines_.end()) {
        return poll;
    }
    for (const auto& [id, admitted] : it->second.streams) {
        // An engine that is polled for a stream before the start request has
        // arrived reports the stream as missing, and its slot would be
        // regenerated.
        if (admitted.start_completed &&
            admitted.state != wire::stream_state::done) {
            poll.streams.push_back({id, admitted.produced});
        }
    }
    return poll;
}

void engine_coordinator::on_poll_response(
    base::millis now, const base::engine_id& engine,
    const wire::engine_poll_response& response) {
    const auto it = engines_.find(engine);
    if (it == engines_.end()) {
        return;
    }
    it->second.responded_at = now;
    it->second.has_responded = true;
    it->second.poll_failures = 0;
    it->second.serving = response.serving;
    for (const auto& update : response.streams) {
        apply_stream_update(now, it->second, update);
    }
}

void engine_coordinator::apply_stream_update(
    base::millis now, engine_state& engine, const wire::stream_update& update) {
    const auto it = engine.streams.find(update.stream);
    if (it == engine.streams.end() ||
        it->second.state == wire::stream_state::done) {
        return;
    }
    auto& admitted = it->second;
    if (update.state == wire::stream_state::done &&
        !is_complete_text(update.chunks)) {
        // Earlier chunks may be from another run of the same stream: the engine
        // was restarted, or another home node stopped and started the stream.
        // Combined they would form a text that was never generated, so a
        // finished text is read in one response, from its first chunk.
        admitted.produced = 0;
        return;
    }
    for (const auto& chunk : update.chunks) {
        // The responses to two polls may overlap; each chunk counts once.
        if (chunk.seq == admitted.produced) {
            ++admitted.produced;
            admitted.oldest_version = std::min(
                admitted.oldest_version.value_or(chunk.version), chunk.version);
        }
    }
    admitted.state = update.state;
    if (update.state == wire::stream_state::done) {
        admitted.chunks = update.chunks;
        admitted.produced = static_cast<std::uint32_t>(admitted.chunks.size());
        admitted.oldest_version = admitted.chunks.front().version;
        for (const auto& chunk : admitted.chunks) {
            admitted.oldest_version =
                std::min(*admitted.oldest_version, chunk.version);
        }
        admitted.finished_at = now;
    }
    if (update.state == wire::stream_state::done ||
        update.state == wire::stream_state::missing) {
        admitted.report_at = now;
    }
}

void engine_coordinator::on_poll_failed(const base::engine_id& engine) {
    const auto it = engines_.find(engine);
    if (it != engines_.end()) {
        ++it->second.poll_failures;
    }
}

void engine_coordinator::on_start_result(const base::engine_id& engine,
                                         const base::stream_id& stream,
                                         bool /*started*/) {
    const auto it = engines_.find(engine);
    if (it == engines_.end()) {
        return;
    }
    const auto admitted = it->second.streams.find(stream);
    if (admitted != it->second.streams.end()) {
        // Even without a response the engine may have the stream. If it were
        // treated as missing, it would keep running and occupy a slot; the next
        // poll tells.
        admitted->second.start_completed = true;
    }
}

bool engine_coordinator::is_healthy(base::millis now,
                                    const engine_state& engine) const {
    return engine.poll_failures < failures_until_unhealthy &&
           now - engine.responded_at <= options_.unhealthy_after;
}

void engine_coordinator::reset_timeouts_after_pause(base::millis now) {
    if (last_tick_at_ && now - *last_tick_at_ > options_.pause_threshold) {
        // This process was paused, not its engines. Without the reset, all
        // their streams would be reported as missing.
        for (auto& [id, engine] : engines_) {
            engine.responded_at = now;
        }
    }
    last_tick_at_ = now;
}

void engine_coordinator::tick(
    base::millis now, const std::vector<wire::trainer_version>& wanted) {
    reset_timeouts_after_pause(now);
    for (auto& [id, engine] : engines_) {
        report_streams(now, id, engine);
        check_completed_order(now, engine);
        order_next_swap(now, id, engine, wanted);
    }
    request_epoch(now);
    for (auto& [node, report] : outgoing_reports_) {
        effects_.push_back(send_report{node, std::move(report)});
    }
    outgoing_reports_.clear();
}

void engine_coordinator::report_streams(base::millis now,
                                        const base::engine_id& id,
                                        engine_state& engine) {
    const bool dead = now - engine.responded_at > options_.dead_after;
    for (auto it = engine.streams.begin(); it != engine.streams.end();) {
        auto& admitted = it->second;
        const bool done = admitted.state == wire::stream_state::done;
        if (dead && !done) {
            // If the stream were still reported as running, its slot would
            // never be regenerated elsewhere and the step would not end.
            admitted.state = wire::stream_state::missing;
            admitted.report_at = now;
        }
        if (now < admitted.report_at) {
            ++it;
            continue;
        }
        if (done && now - admitted.finished_at > options_.finished_retention) {
            effects_.push_back(stop_at_engine{id, it->first});
            it = engine.streams.erase(it);
            continue;
        }
        admitted.report_at = now + options_.report_interval;
        add_report(id, it->first, admitted);
        // A missing stream is reported once. If the report is lost, the
        // trainer's home node times out the stream.
        it = admitted.state == wire::stream_state::missing
                 ? engine.streams.erase(it)
                 : std::next(it);
    }
}

void engine_coordinator::add_report(const base::engine_id& engine,
                                    const base::stream_id& id,
                                    const admitted_stream& admitted) {
    auto& report = outgoing_reports_[admitted.report_to];
    report.from = self_;
    report.streams.push_back({engine, id, admitted.state, admitted.chunks,
                              admitted.oldest_version, admitted.produced});
}

std::vector<wire::engine_status>
engine_coordinator::engine_statuses(base::millis now) const {
    std::vector<wire::engine_status> statuses;
    statuses.reserve(engines_.size());
    for (const auto& [id, engine] : engines_) {
        const bool reachable = is_healthy(now, engine);
        statuses.push_back(
            {id, engine.admitted_count(), engine.traits.slots,
             reachable && engine.has_responded && !engine.traits.leaving,
             engine.serving, reachable, engine.admitted_by_trainer()});
    }
    return statuses;
}

std::vector<engine_effect> engine_coordinator::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hibiscus::cluster
