#pragma once

#include "hibiscus/cluster/engine_coordinator.hpp"
#include "hibiscus/cluster/engine_reachability.hpp"
#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/cluster/stale_samples.hpp"
#include "hibiscus/cluster/step_coordinator.hpp"
#include "hibiscus/cluster/version_table.hpp"
#include "hibiscus/policy/placement.hpp"
#include "hibiscus/policy/swap_plan.hpp"
#include "hibiscus/wire/codec.hpp"
#include "simulated_engine.hpp"

#include <memory>
#include <set>

namespace hibiscus::policy {

constexpr int node_count = 4;
constexpr int engine_count = 4;
constexpr int staleness_bound = 1;
constexpr base::millis tick_ms = 20;
constexpr base::millis heartbeat_ms = 250;
constexpr base::millis member_timeout_ms = 1500;
constexpr base::millis pull_wait_ms = 1000;
/// Added to the wait of a pull for the timeout of the call that forwards it.
constexpr base::millis call_margin_ms = 500;
constexpr base::millis http_timeout_ms = 1000;

/// The network, the engines, the registry and the log that the simulated nodes
/// share.
class simulated_environment {
public:
    explicit simulated_environment(std::uint64_t seed) : random(seed) {
        for (int i = 0; i < engine_count; ++i) {
            engines.emplace_back(base::engine_id("e" + std::to_string(i)),
                                 i % 2 == 0);
        }
    }

    /// Draws the delay of a message in ms, or nothing if it is lost.
    std::optional<base::millis> draw_message_delay() {
        if (!faulty) {
            return 1 + static_cast<base::millis>(random() % 5);
        }
        const auto roll = random() % 100;
        if (roll < loss_percent) {
            return std::nullopt;
        }
        return roll > 95 ? static_cast<base::millis>(random() % 1500)
                         : 1 + static_cast<base::millis>(random() % 40);
    }

    /// Returns true if the next message is to be delivered twice.
    bool should_duplicate() { return faulty && random() % 20 == 0; }

    simulated_engine& engine(const base::engine_id& id) {
        return *std::find_if(engines.begin(), engines.end(),
                             [&](const auto& e) { return e.id() == id; });
    }

    /// Returns the current list of instances.
    wire::instance_list make_instance_list() const {
        wire::instance_list list;
        for (const auto& e : engines) {
            wire::instance row;
            row.id = e.id().str();
            row.role = wire::instance_role::engine;
            row.state = e.is_leaving ? wire::instance_state::leaving
                                     : wire::instance_state::live;
            row.group = "pool";
            list.instances.push_back(row);
        }
        return list;
    }

    virtual_scheduler scheduler;
    std::mt19937_64 random;
    bool faulty = true;
    std::uint64_t loss_percent = 2;
    std::vector<simulated_engine> engines;
    /// Blocked links, as pairs of the names of sender and receiver.
    std::set<std::pair<std::string, std::string>> blocked_links;
    std::int64_t log_end = 0;
};

/// The part of a node that handles samples, as the home node of steps and
/// engines. It runs without sockets and in virtual time, and exchanges real
/// messages in their wire encoding.
class simulated_node {
public:
    using pull_done = std::function<void(wire::pull_response)>;
    using send_function =
        std::function<void(const base::node_id&, wire::peer_message)>;

    /// Schedules an event of the node after a delay; it is dropped if the
    /// node's process ends before then.
    using defer_function =
        std::function<void(base::millis, std::function<void()>)>;

    simulated_node(simulated_environment& environment, int number,
                   std::uint64_t incarnation, send_function send,
                   defer_function defer)
        : environment_(environment), self_("n" + std::to_string(number)),
          incarnation_(incarnation), send_(std::move(send)),
          defer_(std::move(defer)), members_(self_, member_timeout_ms),
          reachability_(10000),
          step_coordinator_(
              self_, make_step_options(),
              [this](const auto& q) { return choose_placement(q); },
              [](const base::trainer_id&) {
                  return std::make_optional(staleness_bound);
              },
              [number](const base::trainer_id&) -> cluster::straggler_policy {
                  if (number % 2 == 0) {
                      return cluster::straggler_move{};
                  }
                  return cluster::straggler_raise_priority{};
              }),
          engine_coordinator_(self_, {},
                              [this](base::millis now, const base::engine_id& e,
                                     const wire::trainer_version& v) {
                                  return may_swap(now, e, v);
                              }),
          random_(incarnation) {}

    const base::node_id& id() const { return self_; }

    /// Does the node's periodic work; called once per tick.
    void tick() {
        const auto now = environment_.scheduler.now();
        if (now - last_heartbeat_at_ >= heartbeat_ms) {
            send_heartbeats(now);
        }
        if (now - last_list_update_at_ >= 500) {
            last_list_update_at_ = now;
            table_.update_instances(environment_.make_instance_list());
            assign_engines();
        }
        members_.remove_expired(now);
        if (reachability_.remove_expired(now) ||
            members_.generation() != member_generation_) {
            member_generation_ = members_.generation();
            assign_engines();
        }
        expire_calls(now);
        engine_coordinator_.tick(now, versions_.all());
        step_coordinator_.tick(now);
        apply_effects();
        poll_engines(now);
    }

    /// Handles a pull that a trainer sent to this node.
    void pull(const wire::pull_step& message, const pull_done& done) {
        const auto home_node =
            members_.home_of("trainer/" + message.trainer.str());
        if (home_node == self_) {
            pull_locally(message, done);
            return;
        }
        const auto deadline = environment_.scheduler.now() +
                              message.request.wait_ms + call_margin_ms;
        const auto trainer = message.trainer;
        call(home_node, message, deadline,
             [this, trainer, done](const wire::reply_body* response_body) {
                 if (response_body != nullptr) {
                     auto response =
                         std::get<wire::pull_response>(*response_body);
                     cluster::drop_stale_samples(
                         response, versions_.newest(trainer), staleness_bound);
                     done(std::move(response));
                 }
             });
    }

    /// Handles the opening of a step that a trainer sent to this node.
    void open(const wire::open_step& message) {
        const auto home_node =
            members_.home_of("trainer/" + message.trainer.str());
        if (home_node == self_) {
            step_coordinator_.open_step(environment_.scheduler.now(), message);
            apply_effects();
        } else {
            call(home_node, message, environment_.scheduler.now() + 1000,
                 [](const auto*) {});
        }
    }

    /// Handles a version that a trainer published to this node. Calls `done`
    /// once no earlier pull can deliver a sample older than the staleness
    /// bound.
    void publish(const wire::learn_version& message,
                 const std::function<void()>& done) {
        record_version(message.trainer, message.version);
        auto pending = std::make_shared<int>(node_count - 1);
        const auto deadline =
            environment_.scheduler.now() + pull_wait_ms + call_margin_ms;
        for (int i = 0; i < node_count; ++i) {
            const base::node_id node("n" + std::to_string(i));
            if (node != self_) {
                call(node, message, deadline, [pending, done](const auto*) {
                    if (--*pending == 0) {
                        done();
                    }
                });
            }
        }
    }

    /// Handles a message from a peer.
    void receive(const wire::peer_message& message) {
        std::visit([this](const auto& m) { handle(m); }, message);
        apply_effects();
    }

private:
    using reply_done = std::function<void(const wire::reply_body*)>;

    static cluster::step_options make_step_options() {
        cluster::step_options options;
        options.adoption_delay = 300;
        return options;
    }

    void handle(const wire::heartbeat& m) {
        members_.record_heartbeat(environment_.scheduler.now(), m);
        for (const auto& status : m.engines) {
            table_.update_status(environment_.scheduler.now(), status);
        }
        for (const auto& v : m.versions) {
            record_version(v.trainer, v.version);
        }
        if (reachability_.update(environment_.scheduler.now(), m.node,
                                 m.engines)) {
            assign_engines();
        }
    }

    void handle(const wire::call& m) {
        const auto to = m.from;
        const auto id = m.id;
        const auto reply = [this, to, id](wire::reply_body body) {
            send_(to, wire::reply{id, std::move(body)});
        };
        if (const auto* pull = std::get_if<wire::pull_step>(&m.body)) {
            pull_locally(*pull, reply);
        } else if (const auto* open = std::get_if<wire::open_step>(&m.body)) {
            versions_.update(environment_.scheduler.now(), open->trainer,
                             open->request.version);
            reply(step_coordinator_.open_step(environment_.scheduler.now(),
                                              *open));
        } else if (const auto* version_message =
                       std::get_if<wire::learn_version>(&m.body)) {
            record_version(version_message->trainer, version_message->version);
            reply(wire::version_response{});
        } else if (const auto* place =
                       std::get_if<wire::place_sample>(&m.body)) {
            reply(engine_coordinator_.admit_stream(environment_.scheduler.now(),
                                                   *place));
        }
    }

    void handle(const wire::reply& m) {
        const auto call = pending_calls_.find(m.id);
        if (call == pending_calls_.end() ||
            environment_.scheduler.now() > call->second.first) {
            return;
        }
        const auto done = std::move(call->second.second);
        pending_calls_.erase(call);
        done(&m.body);
    }

    void handle(const wire::sample_report& m) { handle_report(m); }

    void handle(const wire::sample_ack& m) {
        engine_coordinator_.acknowledge_reports(m);
    }

    void handle(const wire::cancel_streams& m) {
        engine_coordinator_.cancel_streams(m);
    }

    void handle(const wire::document_request& /*m*/) {}
    void handle(const wire::document_offer& /*m*/) {}

    void call(const base::node_id& to, wire::call_body body,
              base::millis deadline, reply_done done) {
        const auto id = incarnation_ * 1000000 + ++last_call_;
        pending_calls_.emplace(id, std::make_pair(deadline, std::move(done)));
        send_(to, wire::call{id, self_, deadline - environment_.scheduler.now(),
                             std::move(body)});
    }

    void expire_calls(base::millis now) {
        std::vector<reply_done> expired;
        for (auto call = pending_calls_.begin();
             call != pending_calls_.end();) {
            if (now >= call->second.first) {
                expired.push_back(std::move(call->second.second));
                call = pending_calls_.erase(call);
            } else {
                ++call;
            }
        }
        for (const auto& done : expired) {
            done(nullptr);
        }
    }

    void send_heartbeats(base::millis now) {
        last_heartbeat_at_ = now;
        wire::heartbeat heartbeat;
        heartbeat.node = self_;
        heartbeat.incarnation = incarnation_;
        heartbeat.state = wire::node_state::ready;
        heartbeat.versions = versions_.all();
        heartbeat.engines = engine_coordinator_.engine_statuses(now);
        handle(heartbeat);
        for (int i = 0; i < node_count; ++i) {
            const base::node_id node("n" + std::to_string(i));
            if (node != self_) {
                send_(node, heartbeat);
            }
        }
    }

    void assign_engines() {
        std::map<base::engine_id, cluster::engine_traits> own_engines;
        std::map<base::engine_id, base::node_id> homes;
        std::set<base::engine_id> moved;
        for (const auto& [id, row] : table_.all()) {
            const auto home_node = reachability_.home_of(id, members_);
            const auto known = homes_.find(id);
            if (known != homes_.end() && known->second != home_node) {
                moved.insert(id);
            }
            homes.emplace(id, home_node);
            if (home_node == self_) {
                cluster::engine_traits traits;
                traits.slots = simulated_engine::slots;
                traits.queue_limit = 3;
                traits.leaving = row.leaving;
                traits.checks_fencing =
                    environment_.engine(id).checks_fencing();
                traits.trainers = {base::trainer_id("t0"),
                                   base::trainer_id("t1")};
                own_engines.emplace(id, traits);
            }
        }
        homes_ = std::move(homes);
        const auto now = environment_.scheduler.now();
        engine_coordinator_.assign_engines(now, own_engines);
        step_coordinator_.request_streams_again(
            now, [&](const auto& engine) { return moved.count(engine) > 0; });
        step_coordinator_.release_trainers(
            [this](const base::trainer_id& trainer) {
                return members_.is_home("trainer/" + trainer.str());
            });
    }

    void record_version(const base::trainer_id& t, wire::weight_version v) {
        if (versions_.update(environment_.scheduler.now(), t, v)) {
            step_coordinator_.update_newest_version(
                environment_.scheduler.now(), t, v);
        }
    }

    void pull_locally(const wire::pull_step& m, pull_done done) {
        const auto now = environment_.scheduler.now();
        versions_.update(now, m.trainer, m.request.version);
        step_coordinator_.update_newest_version(now, m.trainer,
                                                versions_.newest(m.trainer));
        waiting_pulls_[++last_waiter_] = std::move(done);
        step_coordinator_.pull_samples(now, last_waiter_, m);
        apply_effects();
    }

    void handle_report(const wire::sample_report& m) {
        auto finished =
            step_coordinator_.on_report(environment_.scheduler.now(), m);
        if (!finished.empty()) {
            send_or_handle(m.from, wire::sample_ack{std::move(finished)});
        }
        if (m.forwarded) {
            return;
        }
        std::map<base::node_id, wire::sample_report> forwards;
        for (const auto& stream : m.streams) {
            const auto stream_name = cluster::parse_stream_id(stream.stream);
            const auto home_node =
                members_.home_of("trainer/" + stream_name->trainer.str());
            if (!home_node.empty() && home_node != self_) {
                forwards[home_node].streams.push_back(stream);
            }
        }
        for (auto& [home_node, report] : forwards) {
            report.from = m.from;
            report.forwarded = true;
            send_(home_node, std::move(report));
        }
    }

    /// Sends a message to another node, or handles it if `to` is this node.
    void send_or_handle(const base::node_id& to,
                        const wire::peer_message& message) {
        if (to == self_) {
            std::visit([this](const auto& m) { handle(m); }, message);
        } else if (!to.empty()) {
            send_(to, message);
        }
    }

    std::optional<cluster::placement>
    choose_placement(const cluster::placement_query& query) {
        std::vector<engine_candidate> candidates;
        const auto oldest = std::max<wire::weight_version>(
            1, versions_.newest(query.trainer) - staleness_bound);
        for (const auto* row :
             table_.placement_candidates(base::pool_id("pool"))) {
            if (served_version(*row, query.trainer) >= oldest) {
                candidates.push_back({row->id, row->estimated_load(), 6});
            }
        }
        const auto* chosen =
            policy::choose_engine(policy_, candidates, *query.prompt, random_);
        if (chosen == nullptr) {
            return std::nullopt;
        }
        table_.note_placed(chosen->engine, query.trainer);
        return cluster::placement{chosen->engine,
                                  query.is_straggler ? 1000 : 0};
    }

    static wire::weight_version
    served_version(const cluster::engine_entry& row,
                   const base::trainer_id& trainer) {
        for (const auto& s : row.status.serving) {
            if (s.trainer == trainer) {
                return s.version;
            }
        }
        return 0;
    }

    bool may_swap(base::millis now, const base::engine_id& engine,
                  const wire::trainer_version& version) const {
        swap_plan plan;
        plan.max_swap_share = 0.34;
        plan.version_age = now - versions_.updated_at(version.trainer);
        std::vector<swap_candidate> behind;
        for (const auto* row :
             table_.placement_candidates(base::pool_id("pool"))) {
            ++plan.reachable_engines;
            if (served_version(*row, version.trainer) < version.version) {
                behind.push_back({row->id, row->estimated_load()});
            }
        }
        return is_swap_turn(plan, behind, engine);
    }

    void apply_effects() {
        for (const auto& effect : step_coordinator_.take_effects()) {
            std::visit([this](const auto& e) { apply(e); }, effect);
        }
        for (const auto& effect : engine_coordinator_.take_effects()) {
            std::visit([this](const auto& e) { apply(e); }, effect);
        }
    }

    void apply(const cluster::place_stream& e) {
        const auto home_node = reachability_.home_of(e.engine, members_);
        const wire::place_sample message{e.engine, self_, e.start};
        const auto stream = e.start.stream;
        const auto on_response =
            [this, stream](const wire::place_response& response) {
                if (response.result == wire::outcome::not_run) {
                    step_coordinator_.on_placement_refused(
                        environment_.scheduler.now(), stream,
                        response.retry_after_ms);
                }
            };
        if (home_node == self_) {
            on_response(engine_coordinator_.admit_stream(
                environment_.scheduler.now(), message));
            return;
        }
        call(home_node, message, environment_.scheduler.now() + 1000,
             [on_response](const wire::reply_body* body) {
                 if (body != nullptr) {
                     on_response(std::get<wire::place_response>(*body));
                 }
             });
    }

    void apply(const cluster::cancel_stream& e) {
        send_or_handle(reachability_.home_of(e.engine, members_),
                       wire::cancel_streams{e.engine, {e.stream}, self_});
    }

    void apply(const cluster::send_pull_response& e) {
        const auto waiting = waiting_pulls_.find(e.waiter);
        const auto done = std::move(waiting->second);
        waiting_pulls_.erase(waiting);
        done(e.response);
    }

    /// Runs `request` at an engine and calls `done` when the response arrives:
    /// with false if none arrives within the HTTP timeout.
    template <class R>
    void call_engine(const base::engine_id& id, R request,
                     std::function<void(bool)> done) {
        const auto request_delay = environment_.draw_message_delay();
        const auto response_delay = environment_.draw_message_delay();
        const bool is_connected =
            environment_.blocked_links.count({self_.str(), id.str()}) == 0;
        if (!request_delay || !is_connected) {
            defer_(http_timeout_ms, [done] { done(false); });
            return;
        }
        environment_.scheduler.run_after(
            *request_delay, [&environment = environment_, id, request, done,
                             response_delay, defer = defer_]() {
                auto& engine = environment.engine(id);
                const bool is_up = engine.is_up;
                if (is_up) {
                    request(engine);
                }
                const bool is_lost = !is_up || !response_delay ||
                                     *response_delay > http_timeout_ms;
                defer(is_lost ? http_timeout_ms : *response_delay,
                      [done, is_lost] { done(!is_lost); });
            });
    }

    void apply(const cluster::start_at_engine& e) {
        const auto start = e.start;
        call_engine(
            e.engine,
            [start](simulated_engine& engine) { engine.start(start); },
            [this, id = e.engine, stream = start.stream](bool ok) {
                engine_coordinator_.on_start_result(id, stream, ok);
            });
    }

    void apply(const cluster::stop_at_engine& e) {
        call_engine(
            e.engine,
            [s = e.stream](simulated_engine& engine) { engine.stop(s); },
            [](bool) {});
    }

    void apply(const cluster::send_order& e) {
        auto result = std::make_shared<wire::order_result>();
        call_engine(
            e.engine,
            [order = e.order, result](simulated_engine& engine) {
                *result = engine.carry_out_order(order, engine.swaps_fail);
            },
            [this, id = e.engine, result](bool ok) {
                engine_coordinator_.on_order_result(
                    environment_.scheduler.now(), id,
                    ok ? std::make_optional(*result) : std::nullopt);
            });
    }

    void apply(const cluster::send_report& e) {
        if (e.to != self_ && members_.find(e.to) != nullptr) {
            send_(e.to, e.report);
        } else {
            handle_report(e.report);
        }
    }

    void apply(const cluster::append_epoch& /*e*/) {
        const auto epoch = ++environment_.log_end;
        if (environment_.faulty && environment_.random() % 4 == 0) {
            defer_(500, [this] {
                engine_coordinator_.on_epoch_append_failed(
                    environment_.scheduler.now() + 300);
            });
        } else {
            defer_(20, [this, epoch] {
                engine_coordinator_.on_epoch_appended(epoch);
            });
        }
    }

    void poll_engines(base::millis now) {
        for (const auto& [id, row] : engine_coordinator_.engines()) {
            if (now - polled_at_[id] < 40 ||
                !polls_in_flight_.insert(id).second) {
                continue;
            }
            polled_at_[id] = now;
            auto response = std::make_shared<wire::engine_poll_response>();
            call_engine(
                id,
                [poll = engine_coordinator_.next_poll(id),
                 response](simulated_engine& target) {
                    *response = target.poll(poll);
                },
                [this, engine = id, response](bool ok) {
                    polls_in_flight_.erase(engine);
                    if (ok) {
                        engine_coordinator_.on_poll_response(
                            environment_.scheduler.now(), engine, *response);
                    } else {
                        engine_coordinator_.on_poll_failed(engine);
                    }
                });
        }
    }

    simulated_environment& environment_;
    base::node_id self_;
    std::uint64_t incarnation_;
    send_function send_;
    defer_function defer_;
    cluster::member_table members_;
    cluster::engine_table table_;
    cluster::engine_reachability reachability_;
    cluster::version_table versions_;
    cluster::step_coordinator step_coordinator_;
    cluster::engine_coordinator engine_coordinator_;
    placement_policy policy_ = prefix_affinity{};
    std::mt19937_64 random_;
    std::map<base::engine_id, base::node_id> homes_;
    std::map<std::uint64_t, std::pair<base::millis, reply_done>> pending_calls_;
    std::uint64_t last_call_ = 0;
    std::map<cluster::waiter_id, pull_done> waiting_pulls_;
    cluster::waiter_id last_waiter_ = 0;
    std::set<base::engine_id> polls_in_flight_;
    std::map<base::engine_id, base::millis> polled_at_;
    base::millis last_heartbeat_at_ = -heartbeat_ms;
    base::millis last_list_update_at_ = -500;
    std::uint64_t member_generation_ = 0;
};

} // namespace hibiscus::policy
