#include "sample_runner.hpp"

#include "hibiscus/cluster/freshness.hpp"

#include <boost/asio/post.hpp>

namespace hibiscus::node {

namespace {

constexpr base::millis poll_wait = 200;
constexpr base::millis poll_pause = 40;
constexpr base::millis place_deadline = 1000;
constexpr base::millis epoch_retry = 300;
/// How long a node that cannot reach an engine is not its home.
constexpr base::millis unreachable_hold = 10000;
/// Running streams are reported four times a second.
constexpr base::millis adoption = 300;

std::string trainer_key(const base::trainer_id& trainer) {
    return "trainer/" + trainer.str();
}

/// Returns the times of this node's steps.
cluster::step_times step_times() {
    cluster::step_times times;
    times.adoption = adoption;
    return times;
}

} // namespace

sample_runner::sample_runner(const base::node_id& self,
                             boost::asio::io_context& control,
                             const cluster::member_table& members,
                             peer_calls& calls, net::peer_mesh& mesh,
                             platform::log_client& log, engine_gateway& engines,
                             decision_log& lines, telemetry::metrics& counters,
                             base::clock clock, document_function document)
    : self_(self), control_(control), members_(members), calls_(calls),
      mesh_(mesh), log_(log), gateway_(engines), lines_(lines),
      counters_(counters), clock_(std::move(clock)),
      document_(std::move(document)),
      chooser_(self, engines_, versions_, lines, clock_, document_),
      steps_(
          self, step_times(),
          [this](const cluster::placement_query& q) {
              return chooser_.choose(q);
          },
          [this](const base::trainer_id& t) { return bound_of(t); },
          [this](const base::trainer_id& t) { return stragglers_of(t); }),
      rollout_(engines_, versions_, document_),
      homed_(self, cluster::engine_times{},
             [this](base::millis now, const base::engine_id& e,
                    const wire::trainer_version& v) {
                 return rollout_.may_swap(now, e, v);
             }),
      reach_(unreachable_hold) {}

wire::step_answer sample_runner::open(const wire::open_step& message) {
    versions_.learn(clock_.now(), message.trainer, message.request.version);
    auto answer = steps_.open(clock_.now(), message);
    carry_out();
    return answer;
}

void sample_runner::pull(const wire::pull_step& message, pull_function done) {
    versions_.learn(clock_.now(), message.trainer, message.request.version);
    const auto waiter = ++last_waiter_;
    waiters_[waiter] = std::move(done);
    steps_.learn(clock_.now(), message.trainer,
                 versions_.newest(message.trainer));
    steps_.pull(clock_.now(), waiter, message);
    carry_out();
}

wire::pull_answer sample_runner::fresh(const base::trainer_id& trainer,
                                       wire::pull_answer answer) const {
    if (const auto bound = bound_of(trainer)) {
        cluster::drop_stale(answer, versions_.newest(trainer), *bound);
    }
    return answer;
}

wire::place_answer sample_runner::place(const wire::place_sample& message) {
    const auto answer = homed_.place(clock_.now(), message);
    const bool admitted = answer.result == wire::outcome::completed;
    lines_.write({"admit",
                  message.start.stream.str(),
                  {},
                  admitted ? message.engine.str() : "none",
                  std::string(base::name_of(answer.why))});
    carry_out();
    return answer;
}

void sample_runner::report(const wire::sample_report& message) {
    note_ended(message);
    auto finished = steps_.report(clock_.now(), message);
    if (!finished.empty()) {
        wire::sample_ack ack{std::move(finished)};
        if (message.from == self_) {
            acknowledge(ack);
        } else {
            mesh_.send(message.from, std::move(ack));
        }
    }
    forward(message);
    carry_out();
}

void sample_runner::forward(const wire::sample_report& message) {
    // After a planned move the engines' homes still report to the trainer's
    // former home. What it drops would be generated a second time.
    std::map<base::node_id, wire::sample_report> others;
    for (const auto& one : message.streams) {
        const auto name = cluster::parse_stream(one.stream);
        const auto home = name ? members_.home_of(trainer_key(name->trainer))
                               : base::node_id();
        if (!home.empty() && home != self_) {
            others[home].streams.push_back(one);
        }
    }
    // Two nodes that each take the other for the home would pass a report to
    // and fro for ever.
    if (message.forwarded) {
        return;
    }
    for (auto& [home, report] : others) {
        report.from = message.from;
        report.forwarded = true;
        mesh_.send(home, std::move(report));
    }
}

void sample_runner::note_ended(const wire::sample_report& message) {
    // Until the next digest the places of these streams would look taken, and
    // slots would stand idle beside samples that wait here.
    for (const auto& report : message.streams) {
        const auto name = cluster::parse_stream(report.stream);
        const bool ended = report.state == wire::stream_state::done ||
                           report.state == wire::stream_state::missing;
        if (name && ended) {
            engines_.note_ended(report.engine, name->trainer);
        }
    }
}

void sample_runner::acknowledge(const wire::sample_ack& message) {
    homed_.acknowledge(message);
    carry_out();
}

void sample_runner::cancel(const wire::cancel_streams& message) {
    homed_.cancel(message);
    carry_out();
}

void sample_runner::learn(const base::trainer_id& trainer,
                          wire::weight_version version) {
    if (versions_.learn(clock_.now(), trainer, version)) {
        steps_.learn(clock_.now(), trainer, version);
        carry_out();
    }
}

void sample_runner::hear(const wire::heartbeat& beat) {
    for (const auto& digest : beat.engines) {
        engines_.hear(clock_.now(), digest);
    }
    for (const auto& v : beat.versions) {
        learn(v.trainer, v.version);
    }
    if (reach_.hear(clock_.now(), beat.node, beat.engines)) {
        assign();
    }
}

void sample_runner::update(const wire::instance_page& page) {
    engines_.update(page);
    assign();
}

void sample_runner::assign() {
    const auto* document = document_();
    if (document == nullptr) {
        return;
    }
    std::map<base::engine_id, cluster::engine_traits> ours;
    for (const auto& [id, row] : engines_.all()) {
        const auto* pool = document->find(row.pool);
        if (pool != nullptr && home_of(id) == self_) {
            ours.emplace(id, traits_of(row, *document, *pool));
        }
    }
    homed_.assign(clock_.now(), ours);
    ask_moved_engines();
    steps_.release([this](const base::trainer_id& t) {
        return members_.is_home(trainer_key(t));
    });
    carry_out();
}

cluster::engine_traits
sample_runner::traits_of(const cluster::engine_row& row,
                         const document::document& document,
                         const document::pool& pool) const {
    cluster::engine_traits traits;
    traits.slots = pool.slots_per_engine;
    traits.queue = static_cast<int>(pool.queue_share * pool.slots_per_engine);
    traits.leaving = row.leaving;
    traits.checks_fencing = pool.checks_fencing;
    traits.order_life = document.limit.order_life_ms;
    for (const auto& t : document.trainers) {
        if (t.pool == row.pool) {
            traits.trainers.push_back(t.name);
        }
    }
    return traits;
}

void sample_runner::ask_moved_engines() {
    std::set<base::engine_id> moved;
    std::map<base::engine_id, base::node_id> homes;
    for (const auto& [id, row] : engines_.all()) {
        const auto home = home_of(id);
        const auto known = homes_.find(id);
        if (known != homes_.end() && known->second != home) {
            moved.insert(id);
        }
        homes.emplace(id, home);
    }
    homes_ = std::move(homes);
    if (!moved.empty()) {
        // The new home does not know the streams that run; told at once, it
        // finds them and nobody has to wait for their silence.
        steps_.ask_again(clock_.now(), [&](const base::engine_id& e) {
            return moved.count(e) > 0;
        });
    }
}

void sample_runner::tick() {
    if (reach_.expire(clock_.now())) {
        assign();
    }
    homed_.tick(clock_.now(), versions_.all());
    steps_.tick(clock_.now());
    carry_out();
    poll_engines();
    if (const auto* document = document_()) {
        usage_.add(clock_.now(), uses_of(homed_, engines_, *document));
    }
    counters_.set("homed_engines",
                  static_cast<double>(homed_.engines().size()));
    counters_.set("steps", static_cast<double>(steps_.steps().size()));
}

std::vector<wire::engine_digest> sample_runner::digests() const {
    return homed_.digests(clock_.now());
}

cluster::straggler_policy
sample_runner::stragglers_of(const base::trainer_id& trainer) const {
    const auto* document = document_();
    const auto* row = document != nullptr ? document->find(trainer) : nullptr;
    switch (row != nullptr ? row->stragglers : document::straggler_kind::none) {
    case document::straggler_kind::raise_priority:
        return cluster::straggler_raise_priority{};
    case document::straggler_kind::move:
        return cluster::straggler_move{};
    case document::straggler_kind::none:
        break;
    }
    return cluster::straggler_none{};
}

std::optional<int>
sample_runner::bound_of(const base::trainer_id& trainer) const {
    const auto* document = document_();
    const auto* row = document != nullptr ? document->find(trainer) : nullptr;
    return row != nullptr ? std::make_optional(row->staleness_bound)
                          : std::nullopt;
}

void sample_runner::carry_out() {
    for (const auto& effect : steps_.take_effects()) {
        std::visit([this](const auto& e) { run(e); }, effect);
    }
    for (const auto& effect : homed_.take_effects()) {
        std::visit([this](const auto& e) { run(e); }, effect);
    }
}

void sample_runner::run(const cluster::place_stream& effect) {
    const auto home = home_of(effect.engine);
    wire::place_sample message{effect.engine, self_, effect.start};
    const auto stream = effect.start.stream;
    if (home == self_) {
        placed(stream, place(message));
        return;
    }
    calls_.call(
        home, std::move(message), place_deadline,
        [this, stream](const call_result& result) {
            const auto* reply = std::get_if<wire::reply_body>(&result);
            if (reply == nullptr) {
                // If it was lost, the streams' silence will show it.
                if (std::get<call_failure>(result) == call_failure::not_sent) {
                    steps_.refused(clock_.now(), stream, 0);
                }
                return;
            }
            if (const auto* a = std::get_if<wire::place_answer>(reply)) {
                placed(stream, *a);
            }
        });
}

void sample_runner::placed(const base::stream_id& stream,
                           const wire::place_answer& answer) {
    if (answer.result == wire::outcome::not_run) {
        counters_.count_event("placement_refused");
        steps_.refused(clock_.now(), stream, answer.retry_after_ms);
    }
}

void sample_runner::run(const cluster::cancel_stream& effect) {
    const auto home = home_of(effect.engine);
    const wire::cancel_streams message{effect.engine, {effect.stream}, self_};
    counters_.count_event("stream_cancelled");
    if (home == self_) {
        cancel(message);
    } else {
        mesh_.send(home, message);
    }
}

void sample_runner::run(const cluster::answer_pull& effect) {
    const auto at = waiters_.find(effect.waiter);
    if (at == waiters_.end()) {
        return;
    }
    const auto done = std::move(at->second);
    waiters_.erase(at);
    done(effect.answer);
}

void sample_runner::run(const cluster::start_at_engine& effect) {
    const auto address = address_of(effect.engine);
    if (!address) {
        homed_.start_ended(effect.engine, effect.start.stream, false);
        return;
    }
    gateway_.start(*address, effect.start,
                   [this, engine = effect.engine,
                    stream = effect.start.stream](bool started) {
                       boost::asio::post(
                           control_, [this, engine, stream, started] {
                               homed_.start_ended(engine, stream, started);
                           });
                   });
}

void sample_runner::run(const cluster::stop_at_engine& effect) {
    if (const auto address = address_of(effect.engine)) {
        gateway_.stop(*address, effect.stream);
    }
}

void sample_runner::run(const cluster::order_engine& effect) {
    const auto address = address_of(effect.engine);
    if (!address) {
        homed_.ordered(clock_.now(), effect.engine, std::nullopt);
        return;
    }
    lines_.write({"order",
                  effect.engine.str(),
                  {},
                  effect.order.trainer.str() + "@" +
                      std::to_string(effect.order.version),
                  "newer version published"});
    gateway_.order(*address, effect.order, effect.expires_at,
                   [this, engine = effect.engine](
                       std::optional<wire::order_verdict> verdict) {
                       boost::asio::post(control_, [this, engine, verdict] {
                           homed_.ordered(clock_.now(), engine, verdict);
                       });
                   });
}

void sample_runner::run(const cluster::send_report& effect) {
    if (effect.to != self_ && members_.find(effect.to) != nullptr) {
        mesh_.send(effect.to, effect.report);
    } else {
        // If the trainer's home is gone, its successor takes over: this node
        // or one that the report is passed on to.
        report(effect.report);
    }
}

void sample_runner::run(const cluster::take_epoch&) {
    const base::append_id id(self_.str() + "/" + std::to_string(clock_.wall()) +
                             "/" + std::to_string(++epochs_asked_));
    log_.append(platform::engine_epoch_stream, id, self_.str(),
                [this](const platform::append_result& result) {
                    const auto* a = std::get_if<wire::append_answer>(&result);
                    const auto epoch = a != nullptr ? a->offset + 1 : 0;
                    boost::asio::post(control_, [this, epoch] {
                        if (epoch > 0) {
                            homed_.epoch_taken(epoch);
                        } else {
                            homed_.epoch_failed(clock_.now() + epoch_retry);
                        }
                    });
                });
}

void sample_runner::poll_engines() {
    const auto now = clock_.now();
    for (const auto& [id, row] : homed_.engines()) {
        const auto address = address_of(id);
        if (!address || now - polled_at_[id] < poll_pause ||
            !polling_.insert(id).second) {
            continue;
        }
        polled_at_[id] = now;
        auto poll = homed_.poll_of(id);
        poll.wait_ms = poll_wait;
        gateway_.poll(
            *address, poll,
            [this, engine = id](std::optional<wire::engine_news> news) {
                boost::asio::post(
                    control_,
                    [this, engine, n = std::move(news)] { took(engine, n); });
            });
    }
}

void sample_runner::took(const base::engine_id& engine,
                         const std::optional<wire::engine_news>& news) {
    polling_.erase(engine);
    if (news) {
        homed_.news(clock_.now(), engine, *news);
    } else {
        counters_.count_event("engine_poll_failed");
        homed_.poll_failed(engine);
    }
}

std::optional<base::endpoint>
sample_runner::address_of(const base::engine_id& e) const {
    const auto* row = engines_.find(e);
    return row != nullptr ? base::parse_endpoint(row->address) : std::nullopt;
}

base::node_id sample_runner::home_of(const base::engine_id& engine) const {
    return reach_.home_of(engine, members_);
}

} // namespace hibiscus::node
