#include "sample_driver.hpp"

#include "hibiscus/cluster/stale_samples.hpp"

#include <boost/asio/post.hpp>

namespace hibiscus::node {

namespace {

constexpr base::millis poll_wait = 200;
constexpr base::millis poll_interval_ms = 40;
constexpr base::millis place_deadline = 1000;
constexpr base::millis epoch_retry = 300;
/// How long a node that cannot reach an engine is not its home.
constexpr base::millis unreachable_hold_ms = 10000;
/// Running streams are reported four times a second.
constexpr base::millis adoption_delay_ms = 300;

std::string trainer_key(const base::trainer_id& trainer) {
    return "trainer/" + trainer.str();
}

/// Returns the times of this node's steps.
cluster::step_options step_times() {
    cluster::step_options times;
    times.adoption_delay = adoption_delay_ms;
    return times;
}

} // namespace

sample_driver::sample_driver(const base::node_id& self,
                             boost::asio::io_context& control,
                             const cluster::member_table& members,
                             peer_rpc_client& calls, net::peer_mesh& mesh,
                             platform::log_client& log, engine_client& engines,
                             event_log& lines, telemetry::metrics& counters,
                             base::clock clock, document_function document)
    : self_(self), control_(control), members_(members), calls_(calls),
      mesh_(mesh), log_(log), engine_client_(engines), logger_(lines),
      counters_(counters), clock_(std::move(clock)),
      document_(std::move(document)),
      selector_(self, engines_, versions_, lines, clock_, document_),
      step_coordinator_(
          self, step_times(),
          [this](const cluster::placement_query& q) {
              return selector_.select_engine(q);
          },
          [this](const base::trainer_id& t) { return staleness_bound_of(t); },
          [this](const base::trainer_id& t) { return straggler_policy_of(t); }),
      rollout_(engines_, versions_, document_),
      engine_coordinator_(self, cluster::engine_options{},
                          [this](base::millis now, const base::engine_id& e,
                                 const wire::trainer_version& v) {
                              return rollout_.may_swap(now, e, v);
                          }),
      reachability_(unreachable_hold_ms) {}

wire::step_response sample_driver::open_step(const wire::open_step& message) {
    versions_.update(clock_.now(), message.trainer, message.request.version);
    auto answer = step_coordinator_.open_step(clock_.now(), message);
    execute_effects();
    return answer;
}

void sample_driver::pull_samples(const wire::pull_step& message,
                                 pull_function done) {
    versions_.update(clock_.now(), message.trainer, message.request.version);
    const auto waiter = ++last_waiter_;
    callbacks_[waiter] = std::move(done);
    step_coordinator_.update_newest_version(clock_.now(), message.trainer,
                                            versions_.newest(message.trainer));
    step_coordinator_.pull_samples(clock_.now(), waiter, message);
    execute_effects();
}

wire::pull_response
sample_driver::without_stale_samples(const base::trainer_id& trainer,
                                     wire::pull_response answer) const {
    if (const auto bound = staleness_bound_of(trainer)) {
        cluster::drop_stale_samples(answer, versions_.newest(trainer), *bound);
    }
    return answer;
}

wire::place_response
sample_driver::admit_stream(const wire::place_sample& message) {
    const auto answer = engine_coordinator_.admit_stream(clock_.now(), message);
    const bool admitted = answer.result == wire::outcome::completed;
    logger_.write_decision({"admit",
                            message.start.stream.str(),
                            {},
                            admitted ? message.engine.str() : "none",
                            std::string(base::name_of(answer.why))});
    execute_effects();
    return answer;
}

void sample_driver::on_report(const wire::sample_report& message) {
    note_ended(message);
    auto finished = step_coordinator_.on_report(clock_.now(), message);
    if (!finished.empty()) {
        wire::sample_ack ack{std::move(finished)};
        if (message.from == self_) {
            on_acknowledgement(ack);
        } else {
            mesh_.send(message.from, std::move(ack));
        }
    }
    forward_report(message);
    execute_effects();
}

void sample_driver::forward_report(const wire::sample_report& message) {
    // After a planned move the engines' homes still report to the trainer's
    // former home. What it drops would be generated a second time.
    std::map<base::node_id, wire::sample_report> others;
    for (const auto& one : message.streams) {
        const auto name = cluster::parse_stream_id(one.stream);
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

void sample_driver::note_ended(const wire::sample_report& message) {
    // Until the next digest the places of these streams would look taken, and
    // slots would stand idle beside samples that wait here.
    for (const auto& report : message.streams) {
        const auto name = cluster::parse_stream_id(report.stream);
        const bool ended = report.state == wire::stream_state::done ||
                           report.state == wire::stream_state::missing;
        if (name && ended) {
            engines_.note_ended(report.engine, name->trainer);
        }
    }
}

void sample_driver::on_acknowledgement(const wire::sample_ack& message) {
    engine_coordinator_.acknowledge_reports(message);
    execute_effects();
}

void sample_driver::cancel_streams(const wire::cancel_streams& message) {
    engine_coordinator_.cancel_streams(message);
    execute_effects();
}

void sample_driver::update_newest_version(const base::trainer_id& trainer,
                                          wire::weight_version version) {
    if (versions_.update(clock_.now(), trainer, version)) {
        step_coordinator_.update_newest_version(clock_.now(), trainer, version);
        execute_effects();
    }
}

void sample_driver::on_heartbeat(const wire::heartbeat& beat) {
    for (const auto& digest : beat.engines) {
        engines_.update_status(clock_.now(), digest);
    }
    for (const auto& v : beat.versions) {
        update_newest_version(v.trainer, v.version);
    }
    if (reachability_.update(clock_.now(), beat.node, beat.engines)) {
        assign_homes();
    }
}

void sample_driver::update_instances(const wire::instance_list& page) {
    engines_.update_instances(page);
    assign_homes();
}

void sample_driver::assign_homes() {
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
    engine_coordinator_.assign_engines(clock_.now(), ours);
    request_streams_of_moved_engines();
    step_coordinator_.release_trainers([this](const base::trainer_id& t) {
        return members_.is_home(trainer_key(t));
    });
    execute_effects();
}

cluster::engine_traits
sample_driver::traits_of(const cluster::engine_entry& row,
                         const document::document& document,
                         const document::pool& pool) const {
    cluster::engine_traits traits;
    traits.slots = pool.slots_per_engine;
    traits.queue_limit =
        static_cast<int>(pool.queue_share * pool.slots_per_engine);
    traits.leaving = row.leaving;
    traits.checks_fencing = pool.checks_fencing;
    traits.order_lifetime = document.limit.order_life_ms;
    for (const auto& t : document.trainers) {
        if (t.pool == row.pool) {
            traits.trainers.push_back(t.name);
        }
    }
    return traits;
}

void sample_driver::request_streams_of_moved_engines() {
    std::set<base::engine_id> moved;
    std::map<base::engine_id, base::node_id> homes;
    for (const auto& [id, row] : engines_.all()) {
        const auto home = home_of(id);
        const auto known = engine_homes_.find(id);
        if (known != engine_homes_.end() && known->second != home) {
            moved.insert(id);
        }
        homes.emplace(id, home);
    }
    engine_homes_ = std::move(homes);
    if (!moved.empty()) {
        // The new home does not know the streams that run; told at once, it
        // finds them and nobody has to wait for their silence.
        step_coordinator_.request_streams_again(
            clock_.now(),
            [&](const base::engine_id& e) { return moved.count(e) > 0; });
    }
}

void sample_driver::tick() {
    if (reachability_.remove_expired(clock_.now())) {
        assign_homes();
    }
    engine_coordinator_.tick(clock_.now(), versions_.all());
    step_coordinator_.tick(clock_.now());
    execute_effects();
    poll_engines();
    if (const auto* document = document_()) {
        usage_.add_interval(
            clock_.now(),
            collect_engine_uses(engine_coordinator_, engines_, *document));
    }
    counters_.set("homed_engines",
                  static_cast<double>(engine_coordinator_.engines().size()));
    counters_.set("steps",
                  static_cast<double>(step_coordinator_.steps().size()));
}

std::vector<wire::engine_status> sample_driver::engine_statuses() const {
    return engine_coordinator_.engine_statuses(clock_.now());
}

cluster::straggler_policy
sample_driver::straggler_policy_of(const base::trainer_id& trainer) const {
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
sample_driver::staleness_bound_of(const base::trainer_id& trainer) const {
    const auto* document = document_();
    const auto* row = document != nullptr ? document->find(trainer) : nullptr;
    return row != nullptr ? std::make_optional(row->staleness_bound)
                          : std::nullopt;
}

void sample_driver::execute_effects() {
    for (const auto& effect : step_coordinator_.take_effects()) {
        std::visit([this](const auto& e) { execute(e); }, effect);
    }
    for (const auto& effect : engine_coordinator_.take_effects()) {
        std::visit([this](const auto& e) { execute(e); }, effect);
    }
}

void sample_driver::execute(const cluster::place_stream& effect) {
    const auto home = home_of(effect.engine);
    wire::place_sample message{effect.engine, self_, effect.start};
    const auto stream = effect.start.stream;
    if (home == self_) {
        on_place_response(stream, admit_stream(message));
        return;
    }
    calls_.call(
        home, std::move(message), place_deadline,
        [this, stream](const call_result& result) {
            const auto* reply = std::get_if<wire::reply_body>(&result);
            if (reply == nullptr) {
                // If it was lost, the streams' silence will show it.
                if (std::get<call_failure>(result) == call_failure::not_sent) {
                    step_coordinator_.on_placement_refused(clock_.now(), stream,
                                                           0);
                }
                return;
            }
            if (const auto* a = std::get_if<wire::place_response>(reply)) {
                on_place_response(stream, *a);
            }
        });
}

void sample_driver::on_place_response(const base::stream_id& stream,
                                      const wire::place_response& answer) {
    if (answer.result == wire::outcome::not_run) {
        counters_.count_event("placement_refused");
        step_coordinator_.on_placement_refused(clock_.now(), stream,
                                               answer.retry_after_ms);
    }
}

void sample_driver::execute(const cluster::cancel_stream& effect) {
    const auto home = home_of(effect.engine);
    const wire::cancel_streams message{effect.engine, {effect.stream}, self_};
    counters_.count_event("stream_cancelled");
    if (home == self_) {
        cancel_streams(message);
    } else {
        mesh_.send(home, message);
    }
}

void sample_driver::execute(const cluster::send_pull_response& effect) {
    const auto at = callbacks_.find(effect.waiter);
    if (at == callbacks_.end()) {
        return;
    }
    const auto done = std::move(at->second);
    callbacks_.erase(at);
    done(effect.response);
}

void sample_driver::execute(const cluster::start_at_engine& effect) {
    const auto address = address_of(effect.engine);
    if (!address) {
        engine_coordinator_.on_start_result(effect.engine, effect.start.stream,
                                            false);
        return;
    }
    engine_client_.start_stream(
        *address, effect.start,
        [this, engine = effect.engine,
         stream = effect.start.stream](bool started) {
            boost::asio::post(control_, [this, engine, stream, started] {
                engine_coordinator_.on_start_result(engine, stream, started);
            });
        });
}

void sample_driver::execute(const cluster::stop_at_engine& effect) {
    if (const auto address = address_of(effect.engine)) {
        engine_client_.stop_stream(*address, effect.stream);
    }
}

void sample_driver::execute(const cluster::send_order& effect) {
    const auto address = address_of(effect.engine);
    if (!address) {
        engine_coordinator_.on_order_result(clock_.now(), effect.engine,
                                            std::nullopt);
        return;
    }
    logger_.write_decision({"order",
                            effect.engine.str(),
                            {},
                            effect.order.trainer.str() + "@" +
                                std::to_string(effect.order.version),
                            "newer version published"});
    engine_client_.send_order(
        *address, effect.order, effect.expires_at,
        [this,
         engine = effect.engine](std::optional<wire::order_result> verdict) {
            boost::asio::post(control_, [this, engine, verdict] {
                engine_coordinator_.on_order_result(clock_.now(), engine,
                                                    verdict);
            });
        });
}

void sample_driver::execute(const cluster::send_report& effect) {
    if (effect.to != self_ && members_.find(effect.to) != nullptr) {
        mesh_.send(effect.to, effect.report);
    } else {
        // If the trainer's home is gone, its successor takes over: this node
        // or one that the report is passed on to.
        on_report(effect.report);
    }
}

void sample_driver::execute(const cluster::append_epoch&) {
    const base::append_id id(self_.str() + "/" +
                             std::to_string(clock_.wall_time()) + "/" +
                             std::to_string(++epoch_append_count_));
    log_.append(platform::engine_epoch_stream, id, self_.str(),
                [this](const platform::append_result& result) {
                    const auto* a = std::get_if<wire::append_response>(&result);
                    const auto epoch = a != nullptr ? a->offset + 1 : 0;
                    boost::asio::post(control_, [this, epoch] {
                        if (epoch > 0) {
                            engine_coordinator_.on_epoch_appended(epoch);
                        } else {
                            engine_coordinator_.on_epoch_append_failed(
                                clock_.now() + epoch_retry);
                        }
                    });
                });
}

void sample_driver::poll_engines() {
    const auto now = clock_.now();
    for (const auto& [id, row] : engine_coordinator_.engines()) {
        const auto address = address_of(id);
        if (!address || now - last_poll_at_[id] < poll_interval_ms ||
            !engines_being_polled_.insert(id).second) {
            continue;
        }
        last_poll_at_[id] = now;
        auto poll = engine_coordinator_.next_poll(id);
        poll.wait_ms = poll_wait;
        engine_client_.poll_streams(
            *address, poll,
            [this,
             engine = id](std::optional<wire::engine_poll_response> news) {
                boost::asio::post(control_,
                                  [this, engine, n = std::move(news)] {
                                      on_poll_response(engine, n);
                                  });
            });
    }
}

void sample_driver::on_poll_response(
    const base::engine_id& engine,
    const std::optional<wire::engine_poll_response>& news) {
    engines_being_polled_.erase(engine);
    if (news) {
        engine_coordinator_.on_poll_response(clock_.now(), engine, *news);
    } else {
        counters_.count_event("engine_poll_failed");
        engine_coordinator_.on_poll_failed(engine);
    }
}

std::optional<base::endpoint>
sample_driver::address_of(const base::engine_id& e) const {
    const auto* row = engines_.find(e);
    return row != nullptr ? base::parse_endpoint(row->address) : std::nullopt;
}

base::node_id sample_driver::home_of(const base::engine_id& engine) const {
    return reachability_.home_of(engine, members_);
}

} // namespace hibiscus::node
