#include "hibiscus/cluster/engine_coordinator.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr int failures_until_unhealthy = 2;

/// Returns true if `chunks` are a whole text from its beginning.
bool is_complete_text(const std::vector<wire::chunk>& chunks) {
    std::uint32_t next = 0;
    return !chunks.empty() &&
           std::all_of(chunks.begin(), chunks.end(),
                       [&](const wire::chunk& c) { return c.seq == next++; });
}

} // namespace

int engine_state::admitted_count() const {
    return static_cast<int>(
        std::count_if(streams.begin(), streams.end(), [](const auto& s) {
            return s.second.state != wire::stream_state::done;
        }));
}

std::vector<wire::trainer_streams> engine_state::admitted_by_trainer() const {
    std::map<base::trainer_id, int> counts;
    for (const auto& [id, row] : streams) {
        if (row.state != wire::stream_state::done) {
            ++counts[row.start.trainer];
        }
    }
    std::vector<wire::trainer_streams> rows;
    rows.reserve(counts.size());
    for (const auto& [trainer, count] : counts) {
        rows.push_back({trainer, count});
    }
    return rows;
}

wire::weight_version
engine_state::served_version_of(const base::trainer_id& trainer) const {
    for (const auto& row : serving) {
        if (row.trainer == trainer) {
            return row.version;
        }
    }
    return 0;
}

engine_coordinator::engine_coordinator(base::node_id self, engine_options times,
                                       may_swap_function may_swap)
    : self_(std::move(self)), options_(times), may_swap_(std::move(may_swap)) {}

void engine_coordinator::assign_engines(
    base::millis now, const std::map<base::engine_id, engine_traits>& engines) {
    for (auto at = engines_.begin(); at != engines_.end();) {
        at = engines.count(at->first) == 0 ? engines_.erase(at) : std::next(at);
    }
    for (const auto& [id, traits] : engines) {
        const auto [at, fresh] = engines_.try_emplace(id);
        at->second.traits = traits;
        if (!fresh) {
            continue;
        }
        at->second.responded_at = now;
        // An order of the former home may still be on its way. One with a
        // later number makes an engine that checks refuse it; where the
        // engine does not check, waiting out its life does the same.
        at->second.order_not_before =
            traits.checks_fencing ? now : now + traits.order_lifetime;
    }
}

wire::place_response
engine_coordinator::admit_stream(base::millis now,
                                 const wire::place_sample& message) {
    const auto at = engines_.find(message.engine);
    if (at == engines_.end()) {
        return {wire::outcome::not_run, wire::reason::home_moved,
                options_.retry_after};
    }
    auto& engine = at->second;
    const auto known = engine.streams.find(message.start.stream);
    if (known != engine.streams.end()) {
        auto& row = known->second;
        row.report_to = message.home;
        row.report_at = now;
        if (message.start.priority > row.start.priority &&
            row.state != wire::stream_state::done) {
            row.start.priority = message.start.priority;
            effects_.push_back(start_at_engine{message.engine, row.start});
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
    admitted_stream row;
    row.start = message.start;
    row.report_to = message.home;
    row.report_at = now + options_.report_interval;
    engine.streams.emplace(message.start.stream, std::move(row));
    effects_.push_back(start_at_engine{message.engine, message.start});
    return {wire::outcome::completed, wire::reason::none, 0};
}

void engine_coordinator::cancel_streams(const wire::cancel_streams& message) {
    const auto at = engines_.find(message.engine);
    for (const auto& stream : message.streams) {
        if (at != engines_.end()) {
            auto& streams = at->second.streams;
            const auto row = streams.find(stream);
            // A trainer's former home may wake from a pause and stop what is
            // no longer its own; the present home would lose the sample.
            if (row != streams.end() && !message.home.empty() &&
                row->second.report_to != message.home) {
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
                // The engine keeps the text until it is told to forget it.
                effects_.push_back(stop_at_engine{id, stream});
            }
        }
    }
}

wire::engine_poll
engine_coordinator::next_poll(const base::engine_id& engine) const {
    wire::engine_poll poll;
    const auto at = engines_.find(engine);
    if (at == engines_.end()) {
        return poll;
    }
    for (const auto& [id, row] : at->second.streams) {
        // An engine that is asked for a stream before its start has arrived
        // says that it is missing, and the slot would be given up.
        if (row.started && row.state != wire::stream_state::done) {
            poll.streams.push_back({id, row.produced});
        }
    }
    return poll;
}

void engine_coordinator::on_poll_response(
    base::millis now, const base::engine_id& engine,
    const wire::engine_poll_response& news) {
    const auto at = engines_.find(engine);
    if (at == engines_.end()) {
        return;
    }
    at->second.responded_at = now;
    at->second.has_responded = true;
    at->second.failures = 0;
    at->second.serving = news.serving;
    for (const auto& one : news.streams) {
        apply_stream_update(now, at->second, one);
    }
}

void engine_coordinator::apply_stream_update(base::millis now,
                                             engine_state& engine,
                                             const wire::stream_update& news) {
    const auto at = engine.streams.find(news.stream);
    if (at == engine.streams.end() ||
        at->second.state == wire::stream_state::done) {
        return;
    }
    auto& row = at->second;
    if (news.state == wire::stream_state::done &&
        !is_complete_text(news.chunks)) {
        // The parts that came before may be those of another run of the same
        // stream: the engine restarted, or another home stopped and started
        // it. Put together they would be a text that nobody produced, so a
        // finished text is read in one answer, from its beginning.
        row.produced = 0;
        return;
    }
    for (const auto& c : news.chunks) {
        // Answers to two polls may overlap; a chunk counts once.
        if (c.seq == row.produced) {
            ++row.produced;
            row.oldest_version =
                std::min(row.oldest_version.value_or(c.version), c.version);
        }
    }
    row.state = news.state;
    if (news.state == wire::stream_state::done) {
        row.chunks = news.chunks;
        row.produced = static_cast<std::uint32_t>(row.chunks.size());
        row.oldest_version = row.chunks.front().version;
        for (const auto& c : row.chunks) {
            row.oldest_version = std::min(*row.oldest_version, c.version);
        }
        row.done_at = now;
    }
    if (news.state == wire::stream_state::done ||
        news.state == wire::stream_state::missing) {
        row.report_at = now;
    }
}

void engine_coordinator::on_poll_failed(const base::engine_id& engine) {
    const auto at = engines_.find(engine);
    if (at != engines_.end()) {
        ++at->second.failures;
    }
}

void engine_coordinator::on_start_result(const base::engine_id& engine,
                                         const base::stream_id& stream,
                                         bool /*started*/) {
    const auto at = engines_.find(engine);
    if (at == engines_.end()) {
        return;
    }
    const auto row = at->second.streams.find(stream);
    if (row != at->second.streams.end()) {
        // Without an answer the engine may have the stream all the same. Taken
        // for missing it would run unseen and keep a slot from others; the
        // next poll tells.
        row->second.started = true;
    }
}

bool engine_coordinator::is_healthy(base::millis now,
                                    const engine_state& engine) const {
    return engine.failures < failures_until_unhealthy &&
           now - engine.responded_at <= options_.unhealthy_after;
}

void engine_coordinator::reset_timeouts_after_pause(base::millis now) {
    if (last_tick_at_ && now - *last_tick_at_ > options_.pause_threshold) {
        // This process stood still, not its engines. Their streams would all
        // be given up at once.
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
    for (auto at = engine.streams.begin(); at != engine.streams.end();) {
        auto& row = at->second;
        const bool done = row.state == wire::stream_state::done;
        if (dead && !done) {
            // Called running any longer, the slot would never be generated
            // elsewhere and its step would not end.
            row.state = wire::stream_state::missing;
            row.report_at = now;
        }
        if (now < row.report_at) {
            ++at;
            continue;
        }
        if (done && now - row.done_at > options_.done_retention) {
            effects_.push_back(stop_at_engine{id, at->first});
            at = engine.streams.erase(at);
            continue;
        }
        row.report_at = now + options_.report_interval;
        add_report(id, at->first, row);
        // A missing stream is told once; if that is lost, the trainer's home
        // notices the silence.
        at = row.state == wire::stream_state::missing ? engine.streams.erase(at)
                                                      : std::next(at);
    }
}

void engine_coordinator::add_report(const base::engine_id& engine,
                                    const base::stream_id& id,
                                    const admitted_stream& row) {
    auto& batch = outgoing_reports_[row.report_to];
    batch.from = self_;
    batch.streams.push_back(
        {engine, id, row.state, row.chunks, row.oldest_version, row.produced});
}

std::vector<wire::engine_status>
engine_coordinator::engine_statuses(base::millis now) const {
    std::vector<wire::engine_status> rows;
    rows.reserve(engines_.size());
    for (const auto& [id, engine] : engines_) {
        const bool reachable = is_healthy(now, engine);
        rows.push_back(
            {id, engine.admitted_count(), engine.traits.slots,
             reachable && engine.has_responded && !engine.traits.leaving,
             engine.serving, reachable, engine.admitted_by_trainer()});
    }
    return rows;
}

std::vector<engine_effect> engine_coordinator::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hibiscus::cluster
