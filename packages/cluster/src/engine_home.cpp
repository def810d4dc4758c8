#include "hibiscus/cluster/engine_home.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr int failures_until_unhealthy = 2;
constexpr int backoff_doublings = 5;

} // namespace

int homed_engine::admitted() const {
    return static_cast<int>(
        std::count_if(streams.begin(), streams.end(), [](const auto& s) {
            return s.second.state != wire::stream_state::done;
        }));
}

std::vector<wire::trainer_streams> homed_engine::admitted_by_trainer() const {
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
homed_engine::version_of(const base::trainer_id& trainer) const {
    for (const auto& row : serving) {
        if (row.trainer == trainer) {
            return row.version;
        }
    }
    return 0;
}

engine_home::engine_home(base::node_id self, engine_times times)
    : self_(std::move(self)), times_(times) {}

void engine_home::assign(
    base::millis now, const std::map<base::engine_id, engine_traits>& engines) {
    for (auto at = engines_.begin(); at != engines_.end();) {
        at = engines.count(at->first) == 0 ? engines_.erase(at) : std::next(at);
    }
    for (const auto& [id, traits] : engines) {
        const auto [at, fresh] = engines_.try_emplace(id);
        at->second.traits = traits;
        if (fresh) {
            at->second.since = now;
            // An order of the former home may still be on its way. One with a
            // later number makes an engine that checks refuse it; where the
            // engine does not check, waiting out its life does the same.
            at->second.order_not_before = now + times_.order_life;
            epoch_wanted_ = true;
        }
    }
}

wire::place_answer engine_home::place(base::millis now,
                                      const wire::place_sample& message) {
    const auto at = engines_.find(message.engine);
    if (at == engines_.end()) {
        return {wire::outcome::not_run, wire::reason::home_moved,
                times_.refusal};
    }
    auto& engine = at->second;
    const auto known = engine.streams.find(message.start.stream);
    if (known != engine.streams.end()) {
        known->second.reporter = message.home;
        known->second.reported_at = 0;
        return {wire::outcome::completed, wire::reason::none, 0};
    }
    if (engine.traits.leaving || !healthy(now, engine)) {
        return {wire::outcome::not_run, wire::reason::no_backend,
                times_.refusal};
    }
    if (engine.admitted() >= engine.traits.slots + engine.traits.queue) {
        return {wire::outcome::not_run, wire::reason::overloaded,
                times_.refusal};
    }
    stream_row row;
    row.start = message.start;
    row.reporter = message.home;
    row.reported_at = now;
    engine.streams.emplace(message.start.stream, std::move(row));
    effects_.push_back(start_at_engine{message.engine, message.start});
    return {wire::outcome::completed, wire::reason::none, 0};
}

void engine_home::cancel(const wire::cancel_streams& message) {
    const auto at = engines_.find(message.engine);
    for (const auto& stream : message.streams) {
        if (at != engines_.end()) {
            at->second.streams.erase(stream);
        }
        effects_.push_back(stop_at_engine{message.engine, stream});
    }
}

void engine_home::acknowledge(const wire::sample_ack& message) {
    for (const auto& stream : message.streams) {
        for (auto& [id, engine] : engines_) {
            engine.streams.erase(stream);
        }
    }
}

wire::engine_poll engine_home::poll_of(const base::engine_id& engine) const {
    wire::engine_poll poll;
    const auto at = engines_.find(engine);
    if (at == engines_.end()) {
        return poll;
    }
    for (const auto& [id, row] : at->second.streams) {
        // An engine that is asked for a stream before its start has arrived
        // says that it is missing, and the slot would be given up.
        if (row.started && row.state != wire::stream_state::done) {
            poll.streams.push_back(
                {id, static_cast<std::uint32_t>(row.chunks.size())});
        }
    }
    return poll;
}

void engine_home::news(base::millis now, const base::engine_id& engine,
                       const wire::engine_news& news) {
    const auto at = engines_.find(engine);
    if (at == engines_.end()) {
        return;
    }
    at->second.heard_at = now;
    at->second.failures = 0;
    at->second.serving = news.serving;
    for (const auto& one : news.streams) {
        take_news(at->second, one);
    }
}

void engine_home::take_news(homed_engine& engine,
                            const wire::stream_news& news) {
    const auto at = engine.streams.find(news.stream);
    if (at == engine.streams.end() ||
        at->second.state == wire::stream_state::done) {
        return;
    }
    auto& row = at->second;
    for (const auto& c : news.chunks) {
        // Answers to two polls may overlap; a chunk counts once, in its place.
        if (c.seq == row.chunks.size()) {
            row.chunks.push_back(c);
            row.oldest = std::min(row.oldest.value_or(c.version), c.version);
        }
    }
    row.state = news.state;
    if (news.state == wire::stream_state::done ||
        news.state == wire::stream_state::missing) {
        row.reported_at = 0;
    }
}

void engine_home::poll_failed(const base::engine_id& engine) {
    const auto at = engines_.find(engine);
    if (at != engines_.end()) {
        ++at->second.failures;
    }
}

void engine_home::start_ended(const base::engine_id& engine,
                              const base::stream_id& stream, bool started) {
    const auto at = engines_.find(engine);
    if (at == engines_.end()) {
        return;
    }
    const auto row = at->second.streams.find(stream);
    if (row == at->second.streams.end()) {
        return;
    }
    row->second.started = started;
    if (!started) {
        row->second.state = wire::stream_state::missing;
        row->second.reported_at = 0;
    }
}

void engine_home::ordered(base::millis now, const base::engine_id& engine,
                          std::optional<wire::order_verdict> verdict) {
    const auto at = engines_.find(engine);
    if (at == engines_.end()) {
        return;
    }
    auto& row = at->second;
    row.order.reset();
    if (verdict == wire::order_verdict::done) {
        row.order_failures = 0;
        return;
    }
    // A swap that fails at once would be ordered again at once and keep the
    // engine from its streams; it serves what it has meanwhile.
    const int doublings = std::min(row.order_failures++, backoff_doublings);
    row.order_not_before = now + (times_.order_backoff << doublings);
    if (verdict == wire::order_verdict::fenced) {
        epoch_wanted_ = true;
    }
}

void engine_home::epoch_taken(std::int64_t epoch) {
    epoch_ = epoch;
    sequence_ = 0;
    epoch_asked_ = false;
    for (auto& [id, engine] : engines_) {
        engine.order_not_before =
            std::min(engine.order_not_before, engine.since);
    }
}

void engine_home::epoch_failed(base::millis retry_at) {
    epoch_asked_ = false;
    epoch_wanted_ = true;
    epoch_not_before_ = retry_at;
}

bool engine_home::healthy(base::millis now, const homed_engine& engine) const {
    return engine.failures < failures_until_unhealthy && engine.heard_at > 0 &&
           now - engine.heard_at <= times_.silence;
}

void engine_home::tick(base::millis now,
                       const std::vector<wire::trainer_version>& wanted) {
    if (epoch_wanted_ && !epoch_asked_ && now >= epoch_not_before_) {
        epoch_wanted_ = false;
        epoch_asked_ = true;
        effects_.push_back(take_epoch{});
    }
    for (auto& [id, engine] : engines_) {
        report_streams(now, id, engine);
        order_version(now, id, engine, wanted);
    }
    for (auto& [node, report] : reports_) {
        effects_.push_back(send_report{node, std::move(report)});
    }
    reports_.clear();
}

void engine_home::report_streams(base::millis now, const base::engine_id& id,
                                 homed_engine& engine) {
    for (auto at = engine.streams.begin(); at != engine.streams.end();) {
        auto& row = at->second;
        if (row.reported_at != 0 && now - row.reported_at < times_.report) {
            ++at;
            continue;
        }
        row.reported_at = now;
        wire::stream_report report{
            id, at->first,  row.state,
            {}, row.oldest, static_cast<std::uint32_t>(row.chunks.size())};
        if (row.state == wire::stream_state::done) {
            report.chunks = row.chunks;
        }
        auto& batch = reports_[row.reporter];
        batch.from = self_;
        batch.streams.push_back(std::move(report));
        // A missing stream is told once; if that is lost, the trainer's home
        // notices the silence.
        at = row.state == wire::stream_state::missing ? engine.streams.erase(at)
                                                      : std::next(at);
    }
}

void engine_home::order_version(
    base::millis now, const base::engine_id& id, homed_engine& engine,
    const std::vector<wire::trainer_version>& wanted) {
    if (epoch_ == 0 || epoch_asked_ || engine.order ||
        now < engine.order_not_before || engine.heard_at == 0) {
        return;
    }
    for (const auto& w : wanted) {
        const auto& served = engine.traits.trainers;
        const bool ours =
            std::find(served.begin(), served.end(), w.trainer) != served.end();
        if (!ours || engine.version_of(w.trainer) >= w.version) {
            continue;
        }
        const wire::version_order order{
            w.trainer, w.version, {epoch_, ++sequence_}};
        engine.order = pending_order{order, now};
        effects_.push_back(order_engine{id, order, now + times_.order_life});
        return;
    }
}

std::vector<wire::engine_digest> engine_home::digests(base::millis now) const {
    std::vector<wire::engine_digest> rows;
    rows.reserve(engines_.size());
    for (const auto& [id, engine] : engines_) {
        rows.push_back({id, engine.admitted(), engine.traits.slots,
                        healthy(now, engine) && !engine.traits.leaving,
                        engine.serving, engine.admitted_by_trainer()});
    }
    return rows;
}

std::vector<engine_effect> engine_home::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hibiscus::cluster
