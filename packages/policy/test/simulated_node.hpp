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
constexpr base::millis call_margin_ms = 500;
constexpr base::millis http_timeout_ms = 1000;

// Several nodes' homes of steps and engines, without sockets and under a time
// that the test moves. They exchange the real messages in their encoding.

/// What lies between the nodes and around them.
class simulated_environment {
public:
    explicit simulated_environment(std::uint64_t seed) : random(seed) {
        for (int i = 0; i < engine_count; ++i) {
            engines.emplace_back(base::engine_id("e" + std::to_string(i)),
                                 i % 2 == 0);
        }
    }

    /// Returns how long a message takes now, or nothing if it is lost.
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

    /// Returns true if a message is to arrive twice.
    bool should_duplicate() { return faulty && random() % 20 == 0; }

    simulated_engine& engine(const base::engine_id& id) {
        return *std::find_if(engines.begin(), engines.end(),
                             [&](const auto& e) { return e.id() == id; });
    }

    /// Returns the list of instances as it is now.
    wire::instance_list make_instance_list() const {
        wire::instance_list page;
        for (const auto& e : engines) {
            wire::instance row;
            row.id = e.id().str();
            row.role = wire::instance_role::engine;
            row.state = e.is_leaving ? wire::instance_state::leaving
                                     : wire::instance_state::live;
            row.group = "pool";
            page.instances.push_back(row);
        }
        return page;
    }

    virtual_scheduler scheduler;
    std::mt19937_64 random;
    bool faulty = true;
    std::uint64_t loss_percent = 2;
    std::vector<simulated_engine> engines;
    /// Pairs of names between which nothing passes.
    std::set<std::pair<std::string, std::string>> blocked_links;
    std::int64_t log_end = 0;
};

/// The part of a node that has to do with samples, on messages of the test.
class simulated_node {
public:
    using pull_done = std::function<void(wire::pull_response)>;
    using send_function =
        std::function<void(const base::node_id&, wire::peer_message)>;

    /// Defers an event of a node; it is dropped with the node's process.
    using defer_function =
        std::function<void(base::millis, std::function<void()>)>;

    simulated_node(simulated_environment& around, int number,
                   std::uint64_t incarnation, send_function send,
                   defer_function later)
        : environment_(around), self_("n" + std::to_string(number)),
          incarnation_(incarnation), send_(std::move(send)),
          defer_(std::move(later)), members_(self_, member_timeout_ms),
          reachability_(10000),
          step_coordinator_(
              self_, make_step_times(),
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

    /// What a node does each tick.
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

    /// A trainer's pull reaches this node.
    void pull(const wire::pull_step& message, const pull_done& done) {
        const auto home = members_.home_of("trainer/" + message.trainer.str());
        if (home == self_) {
            pull_locally(message, done);
            return;
        }
        const auto until = environment_.scheduler.now() +
                           message.request.wait_ms + call_margin_ms;
        const auto trainer = message.trainer;
        call(home, message, until,
             [this, trainer, done](const wire::reply_body* body) {
                 if (body != nullptr) {
                     auto answer = std::get<wire::pull_response>(*body);
                     cluster::drop_stale_samples(
                         answer, versions_.newest(trainer), staleness_bound);
                     done(std::move(answer));
                 }
             });
    }

    /// A trainer opens a step here.
    void open(const wire::open_step& message) {
        const auto home = members_.home_of("trainer/" + message.trainer.str());
        if (home == self_) {
            step_coordinator_.open_step(environment_.scheduler.now(), message);
            apply_effects();
        } else {
            call(home, message, environment_.scheduler.now() + 1000,
                 [](const auto*) {});
        }
    }

    /// A trainer publishes a version here; `done` when no pull of before can
    /// deliver what is older than the bound.
    void publish(const wire::learn_version& message,
                 const std::function<void()>& done) {
        record_version(message.trainer, message.version);
        auto left = std::make_shared<int>(node_count - 1);
        const auto until =
            environment_.scheduler.now() + pull_wait_ms + call_margin_ms;
        for (int i = 0; i < node_count; ++i) {
            const base::node_id node("n" + std::to_string(i));
            if (node != self_) {
                call(node, message, until, [left, done](const auto*) {
                    if (--*left == 0) {
                        done();
                    }
                });
            }
        }
    }

    /// A message of a peer arrives.
    void receive(const wire::peer_message& message) {
        std::visit([this](const auto& m) { handle(m); }, message);
        apply_effects();
    }

private:
    using reply_done = std::function<void(const wire::reply_body*)>;

    static cluster::step_options make_step_times() {
        cluster::step_options t;
        t.adoption_delay = 300;
        return t;
    }

    void handle(const wire::heartbeat& m) {
        members_.record_heartbeat(environment_.scheduler.now(), m);
        for (const auto& d : m.engines) {
            table_.update_status(environment_.scheduler.now(), d);
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
        if (const auto* p = std::get_if<wire::pull_step>(&m.body)) {
            pull_locally(*p, reply);
        } else if (const auto* o = std::get_if<wire::open_step>(&m.body)) {
            versions_.update(environment_.scheduler.now(), o->trainer,
                             o->request.version);
            reply(
                step_coordinator_.open_step(environment_.scheduler.now(), *o));
        } else if (const auto* v = std::get_if<wire::learn_version>(&m.body)) {
            record_version(v->trainer, v->version);
            reply(wire::version_response{});
        } else if (const auto* s = std::get_if<wire::place_sample>(&m.body)) {
            reply(engine_coordinator_.admit_stream(environment_.scheduler.now(),
                                                   *s));
        }
    }

    void handle(const wire::reply& m) {
        const auto at = pending_calls_.find(m.id);
        if (at == pending_calls_.end() ||
            environment_.scheduler.now() > at->second.first) {
            return;
        }
        const auto done = std::move(at->second.second);
        pending_calls_.erase(at);
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

    void call(const base::node_id& to, wire::call_body body, base::millis until,
              reply_done done) {
        const auto id = incarnation_ * 1000000 + ++last_call_;
        pending_calls_.emplace(id, std::make_pair(until, std::move(done)));
        send_(to, wire::call{id, self_, until - environment_.scheduler.now(),
                             std::move(body)});
    }

    void expire_calls(base::millis now) {
        std::vector<reply_done> ended;
        for (auto at = pending_calls_.begin(); at != pending_calls_.end();) {
            if (now >= at->second.first) {
                ended.push_back(std::move(at->second.second));
                at = pending_calls_.erase(at);
            } else {
                ++at;
            }
        }
        for (const auto& done : ended) {
            done(nullptr);
        }
    }

    void send_heartbeats(base::millis now) {
        last_heartbeat_at_ = now;
        wire::heartbeat beat;
        beat.node = self_;
        beat.incarnation = incarnation_;
        beat.state = wire::node_state::ready;
        beat.versions = versions_.all();
        beat.engines = engine_coordinator_.engine_statuses(now);
        handle(beat);
        for (int i = 0; i < node_count; ++i) {
            const base::node_id node("n" + std::to_string(i));
            if (node != self_) {
                send_(node, beat);
            }
        }
    }

    void assign_engines() {
        std::map<base::engine_id, cluster::engine_traits> ours;
        std::map<base::engine_id, base::node_id> homes;
        std::set<base::engine_id> moved;
        for (const auto& [id, row] : table_.all()) {
            const auto home = reachability_.home_of(id, members_);
            const auto known = homes_.find(id);
            if (known != homes_.end() && known->second != home) {
                moved.insert(id);
            }
            homes.emplace(id, home);
            if (home == self_) {
                cluster::engine_traits traits;
                traits.slots = simulated_engine::slots;
                traits.queue_limit = 3;
                traits.leaving = row.leaving;
                traits.checks_fencing =
                    environment_.engine(id).checks_fencing();
                traits.trainers = {base::trainer_id("t0"),
                                   base::trainer_id("t1")};
                ours.emplace(id, traits);
            }
        }
        homes_ = std::move(homes);
        const auto now = environment_.scheduler.now();
        engine_coordinator_.assign_engines(now, ours);
        step_coordinator_.request_streams_again(
            now, [&](const auto& e) { return moved.count(e) > 0; });
        step_coordinator_.release_trainers([this](const base::trainer_id& t) {
            return members_.is_home("trainer/" + t.str());
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
        std::map<base::node_id, wire::sample_report> others;
        for (const auto& one : m.streams) {
            const auto name = cluster::parse_stream_id(one.stream);
            const auto home =
                members_.home_of("trainer/" + name->trainer.str());
            if (!home.empty() && home != self_) {
                others[home].streams.push_back(one);
            }
        }
        for (auto& [home, report] : others) {
            report.from = m.from;
            report.forwarded = true;
            send_(home, std::move(report));
        }
    }

    /// Hands a message to this node or another.
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
        std::vector<engine_candidate> open;
        const auto oldest = std::max<wire::weight_version>(
            1, versions_.newest(query.trainer) - staleness_bound);
        for (const auto* row :
             table_.placement_candidates(base::pool_id("pool"))) {
            if (served_version(*row, query.trainer) >= oldest) {
                open.push_back({row->id, row->estimated_load(), 6});
            }
        }
        const auto* chosen =
            policy::choose_engine(policy_, open, *query.prompt, random_);
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
        const auto home = reachability_.home_of(e.engine, members_);
        const wire::place_sample message{e.engine, self_, e.start};
        const auto stream = e.start.stream;
        const auto placed = [this, stream](const wire::place_response& a) {
            if (a.result == wire::outcome::not_run) {
                step_coordinator_.on_placement_refused(
                    environment_.scheduler.now(), stream, a.retry_after_ms);
            }
        };
        if (home == self_) {
            placed(engine_coordinator_.admit_stream(
                environment_.scheduler.now(), message));
            return;
        }
        call(home, message, environment_.scheduler.now() + 1000,
             [placed](const wire::reply_body* body) {
                 if (body != nullptr) {
                     placed(std::get<wire::place_response>(*body));
                 }
             });
    }

    void apply(const cluster::cancel_stream& e) {
        send_or_handle(reachability_.home_of(e.engine, members_),
                       wire::cancel_streams{e.engine, {e.stream}, self_});
    }

    void apply(const cluster::send_pull_response& e) {
        const auto at = waiting_pulls_.find(e.waiter);
        const auto done = std::move(at->second);
        waiting_pulls_.erase(at);
        done(e.response);
    }

    /// Sends `request` to an engine and its answer to `done`: false if none
    /// came within the time of an HTTP call.
    template <class R>
    void call_engine(const base::engine_id& id, R request,
                     std::function<void(bool)> done) {
        const auto there = environment_.draw_message_delay();
        const auto back = environment_.draw_message_delay();
        const bool open =
            environment_.blocked_links.count({self_.str(), id.str()}) == 0;
        if (!there || !open) {
            defer_(http_timeout_ms, [done] { done(false); });
            return;
        }
        environment_.scheduler.run_after(*there, [&environment = environment_,
                                                  id, request, done, back,
                                                  later = defer_]() {
            auto& engine = environment.engine(id);
            const bool up = engine.is_up;
            if (up) {
                request(engine);
            }
            const bool lost = !up || !back || *back > http_timeout_ms;
            later(lost ? http_timeout_ms : *back,
                  [done, lost] { done(!lost); });
        });
    }

    void apply(const cluster::start_at_engine& e) {
        const auto start = e.start;
        call_engine(
            e.engine, [start](simulated_engine& m) { m.start(start); },
            [this, id = e.engine, stream = start.stream](bool ok) {
                engine_coordinator_.on_start_result(id, stream, ok);
            });
    }

    void apply(const cluster::stop_at_engine& e) {
        call_engine(
            e.engine, [s = e.stream](simulated_engine& m) { m.stop(s); },
            [](bool) {});
    }

    void apply(const cluster::send_order& e) {
        auto verdict = std::make_shared<wire::order_result>();
        call_engine(
            e.engine,
            [order = e.order, verdict](simulated_engine& m) {
                *verdict = m.order(order, m.swaps_fail);
            },
            [this, id = e.engine, verdict](bool ok) {
                engine_coordinator_.on_order_result(
                    environment_.scheduler.now(), id,
                    ok ? std::make_optional(*verdict) : std::nullopt);
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
            auto news = std::make_shared<wire::engine_poll_response>();
            call_engine(
                id,
                [poll = engine_coordinator_.next_poll(id),
                 news](simulated_engine& m) { *news = m.poll(poll); },
                [this, engine = id, news](bool ok) {
                    polls_in_flight_.erase(engine);
                    if (ok) {
                        engine_coordinator_.on_poll_response(
                            environment_.scheduler.now(), engine, *news);
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
