#include "sample_driver.hpp"

#include "hibiscus/cluster/stale_samples.hpp"

#include <boost/asio/post.hpp>

namespace hibiscus::node {

namespace {

constexpr base::millis poll_wait_ms = 200;
constexpr base::millis poll_interval_ms = 40;
constexpr base::millis place_timeout_ms = 1000;
constexpr base::millis epoch_retry_delay_ms = 300;
/// Time for which a node that cannot reach an engine is not considered as its
/// home.
constexpr base::millis home_exclusion_ms = 10000;
/// Time for which the first step of a trainer waits for reports of streams that
/// the former home started. Must be longer than the interval between reports of
/// running streams, which are sent four times a second.
constexpr base::millis stream_adoption_delay_ms = 300;

std::string trainer_key(const base::trainer_id& trainer) {
    return "trainer/" + trainer.str();
}

cluster::step_options make_step_options() {
    cluster::step_options options;
    options.adoption_delay = stream_adoption_delay_ms;
    return options;
}

} // namespace

sample_driver::sample_driver(const base::node_id& self,
                             boost::asio::io_context& control_io,
                             const cluster::member_table& members,
                             peer_rpc_client& rpc_client, net::peer_mesh& mesh,
                             platform::log_client& log, engine_client& engines,
                             event_log& logger, telemetry::metrics& counters,
                             base::clock clock,
                             document_function current_document)
    : self_(self), control_io_(control_io), members_(members),
      peer_rpc_client_(rpc_client), mesh_(mesh), log_(log),
      engine_client_(engines), logger_(logger), counters_(counters),
      clock_(std::move(clock)), current_document_(std::move(current_document)),
      selector_(self, engines_, versions_, logger, clock_, current_document_),
      step_coordinator_(
          self, make_step_options(),
          [this](const cluster::placement_query& q) {
              return selector_.select_engine(q);
          },
          [this](const base::trainer_id& t) { return staleness_bound_of(t); },
          [this](const base::trainer_id& t) { return straggler_policy_of(t); }),
      rollout_(engines_, versions_, current_document_),
      engine_coordinator_(self, cluster::engine_options{},
                          [this](base::millis now, const base::engine_id& e,
                                 const wire::trainer_version& v) {
                              return rollout_.may_swap(now, e, v);
                          }),
      reachability_(home_exclusion_ms) {}

wire::step_response sample_driver::open_step(const wire::open_step& message) {
    versions_.update(clock_.now(), message.trainer, message.request.version);
    auto response = step_coordinator_.open_step(clock_.now(), message);
    execute_effects();
    return response;
}

void sample_driver::pull_samples(const wire::pull_step& message,
                                 pull_callback done) {
    versions_.update(clock_.now(), message.trainer, message.request.version);
    const auto waiter = ++last_waiter_id_;
    callbacks_[waiter] = std::move(done);
    step_coordinator_.update_newest_version(clock_.now(), message.trainer,
                                            versions_.newest(message.trainer));
    step_coordinator_.pull_samples(clock_.now(), waiter, message);
    execute_effects();
}

wire::pull_response
sample_driver::without_stale_samples(const base::trainer_id& trainer,
                                     wire::pull_response response) const {
    if (const auto bound = staleness_bound_of(trainer)) {
        cluster::drop_stale_samples(response, versions_.newest(trainer),
                                    *bound);
    }
    return response;
}

wire::place_response
sample_driver::admit_stream(const wire::place_sample& message) {
    const auto response =
        engine_coordinator_.admit_stream(clock_.now(), message);
    const bool admitted = response.result == wire::outcome::completed;
    logger_.write_decision({"admit",
                            message.start.stream.str(),
                            {},
                            admitted ? message.engine.str() : "none",
                            std::string(base::name_of(response.why))});
    execute_effects();
    return response;
}

void sample_driver::on_report(const wire::sample_report& message) {
    record_ended_streams(message);
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

/// Forwards reports to the current homes of their trainers. After a planned
/// handover of a trainer, the homes of engines still report to its former home.
/// A sample whose report is dropped there would be generated a second time.
void sample_driver::forward_report(const wire::sample_report& message) {
    std::map<base::node_id, wire::sample_report> reports_by_home;
    for (const auto& report_entry : message.streams) {
        const auto parsed_id = cluster::parse_stream_id(report_entry.stream);
        const auto home =
            parsed_id ? members_.home_of(trainer_key(parsed_id->trainer))
                      : base::node_id();
        if (!home.empty() && home != self_) {
            reports_by_home[home].streams.push_back(report_entry);
        }
    }
    // Two nodes that each consider the other one the home would otherwise
    // forward a report to each other without end.
    if (message.forwarded) {
        return;
    }
    for (auto& [home, report] : reports_by_home) {
        report.from = message.from;
        report.forwarded = true;
        mesh_.send(home, std::move(report));
    }
}

void sample_driver::record_ended_streams(const wire::sample_report& message) {
    // Otherwise these streams would count as load until the next status of
    // their engine, and its slots would stay idle although samples are pending
    // on this node.
    for (const auto& report : message.streams) {
        const auto parsed_id = cluster::parse_stream_id(report.stream);
        const bool ended = report.state == wire::stream_state::done ||
                           report.state == wire::stream_state::missing;
        if (parsed_id && ended) {
            engines_.note_ended(report.engine, parsed_id->trainer);
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

void sample_driver::on_heartbeat(const wire::heartbeat& heartbeat) {
    for (const auto& status : heartbeat.engines) {
        engines_.update_status(clock_.now(), status);
    }
    for (const auto& v : heartbeat.versions) {
        update_newest_version(v.trainer, v.version);
    }
    if (reachability_.update(clock_.now(), heartbeat.node, heartbeat.engines)) {
        assign_homes();
    }
}

void sample_driver::update_instances(const wire::instance_list& list) {
    engines_.update_instances(list);
    assign_homes();
}

void sample_driver::assign_homes() {
    const auto* document = current_document_();
    if (document == nullptr) {
        return;
    }
    std::map<base::engine_id, cluster::engine_traits> assigned;
    for (const auto& [id, entry] : engines_.all()) {
        const auto* pool = document->find(entry.pool);
        if (pool != nullptr && home_of(id) == self_) {
            assigned.emplace(id, traits_of(entry, *document, *pool));
        }
    }
    engine_coordinator_.assign_engines(clock_.now(), assigned);
    request_streams_of_moved_engines();
    step_coordinator_.release_trainers([this](const base::trainer_id& t) {
        return members_.is_home(trainer_key(t));
    });
    execute_effects();
}

cluster::engine_traits
sample_driver::traits_of(const cluster::engine_entry& entry,
                         const document::document& document,
                         const document::pool& pool) const {
    cluster::engine_traits traits;
    traits.slots = pool.slots_per_engine;
    traits.queue_limit =
        static_cast<int>(pool.queue_share * pool.slots_per_engine);
    traits.leaving = entry.leaving;
    traits.checks_fencing = pool.checks_fencing;
    traits.order_lifetime = document.limit.order_life_ms;
    for (const auto& t : document.trainers) {
        if (t.pool == entry.pool) {
            traits.trainers.push_back(t.name);
        }
    }
    return traits;
}

void sample_driver::request_streams_of_moved_engines() {
    std::set<base::engine_id> moved;
    std::map<base::engine_id, base::node_id> homes;
    for (const auto& [id, entry] : engines_.all()) {
        const auto home = home_of(id);
        const auto known = engine_homes_.find(id);
        if (known != engine_homes_.end() && known->second != home) {
            moved.insert(id);
        }
        homes.emplace(id, home);
    }
    engine_homes_ = std::move(homes);
    if (!moved.empty()) {
        // The new home does not know the running streams. Requesting them at
        // once lets it adopt them without waiting until they are detected as
        // silent.
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
    if (const auto* document = current_document_()) {
        usage_.add_interval(
            clock_.now(),
            collect_engine_usage(engine_coordinator_, engines_, *document));
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
    const auto* document = current_document_();
    const auto* trainer_config =
        document != nullptr ? document->find(trainer) : nullptr;
    switch (trainer_config != nullptr ? trainer_config->stragglers
                                      : document::straggler_kind::none) {
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
    const auto* document = current_document_();
    const auto* trainer_config =
        document != nullptr ? document->find(trainer) : nullptr;
    return trainer_config != nullptr
               ? std::make_optional(trainer_config->staleness_bound)
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
    peer_rpc_client_.call(
        home, std::move(message), place_timeout_ms,
        [this, stream](const call_result& result) {
            const auto* reply = std::get_if<wire::reply_body>(&result);
            if (reply == nullptr) {
                // If the outcome of the call is unknown, a lost call is
                // detected later, when the stream sends no reports.
                if (std::get<call_failure>(result) == call_failure::not_sent) {
                    step_coordinator_.on_placement_refused(clock_.now(), stream,
                                                           0);
                }
                return;
            }
            if (const auto* response =
                    std::get_if<wire::place_response>(reply)) {
                on_place_response(stream, *response);
            }
        });
}

void sample_driver::on_place_response(const base::stream_id& stream,
                                      const wire::place_response& response) {
    if (response.result == wire::outcome::not_run) {
        counters_.count_event("placement_refused");
        step_coordinator_.on_placement_refused(clock_.now(), stream,
                                               response.retry_after_ms);
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
    const auto found = callbacks_.find(effect.waiter);
    if (found == callbacks_.end()) {
        return;
    }
    const auto done = std::move(found->second);
    callbacks_.erase(found);
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
            boost::asio::post(control_io_, [this, engine, stream, started] {
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
            boost::asio::post(control_io_, [this, engine, verdict] {
                engine_coordinator_.on_order_result(clock_.now(), engine,
                                                    verdict);
            });
        });
}

void sample_driver::execute(const cluster::send_report& effect) {
    if (effect.to != self_ && members_.find(effect.to) != nullptr) {
        mesh_.send(effect.to, effect.report);
    } else {
        // If the trainer's home is gone, its successor needs the report: either
        // this node or the node that on_report() forwards it to.
        on_report(effect.report);
    }
}

void sample_driver::execute(const cluster::append_epoch&) {
    const base::append_id id(self_.str() + "/" +
                             std::to_string(clock_.wall_time()) + "/" +
                             std::to_string(++epoch_append_count_));
    log_.append(platform::engine_epoch_stream, id, self_.str(),
                [this](const platform::append_result& result) {
                    const auto* response =
                        std::get_if<wire::append_response>(&result);
                    const auto epoch =
                        response != nullptr ? response->offset + 1 : 0;
                    boost::asio::post(control_io_, [this, epoch] {
                        if (epoch > 0) {
                            engine_coordinator_.on_epoch_appended(epoch);
                        } else {
                            engine_coordinator_.on_epoch_append_failed(
                                clock_.now() + epoch_retry_delay_ms);
                        }
                    });
                });
}

void sample_driver::poll_engines() {
    const auto now = clock_.now();
    for (const auto& [id, entry] : engine_coordinator_.engines()) {
        const auto address = address_of(id);
        if (!address || now - last_poll_at_[id] < poll_interval_ms ||
            !engines_being_polled_.insert(id).second) {
            continue;
        }
        last_poll_at_[id] = now;
        auto poll = engine_coordinator_.next_poll(id);
        poll.wait_ms = poll_wait_ms;
        engine_client_.poll_streams(
            *address, poll,
            [this,
             engine = id](std::optional<wire::engine_poll_response> response) {
                boost::asio::post(
                    control_io_,
                    [this, engine, response = std::move(response)] {
                        on_poll_response(engine, response);
                    });
            });
    }
}

void sample_driver::on_poll_response(
    const base::engine_id& engine,
    const std::optional<wire::engine_poll_response>& response) {
    engines_being_polled_.erase(engine);
    if (response) {
        engine_coordinator_.on_poll_response(clock_.now(), engine, *response);
    } else {
        counters_.count_event("engine_poll_failed");
        engine_coordinator_.on_poll_failed(engine);
    }
}

std::optional<base::endpoint>
sample_driver::address_of(const base::engine_id& engine) const {
    const auto* entry = engines_.find(engine);
    return entry != nullptr ? base::parse_endpoint(entry->address)
                            : std::nullopt;
}

base::node_id sample_driver::home_of(const base::engine_id& engine) const {
    return reachability_.home_of(engine, members_);
}

} // namespace hibiscus::node
