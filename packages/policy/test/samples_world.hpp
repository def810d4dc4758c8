#pragma once

#include "hibiscus/cluster/engine_home.hpp"
#include "hibiscus/cluster/engine_reach.hpp"
#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/cluster/freshness.hpp"
#include "hibiscus/cluster/step_home.hpp"
#include "hibiscus/cluster/version_table.hpp"
#include "hibiscus/policy/placement.hpp"
#include "hibiscus/policy/rollout.hpp"
#include "hibiscus/wire/codec.hpp"
#include "samples_engine.hpp"

#include <memory>
#include <set>

namespace hibiscus::policy {

constexpr int world_nodes = 4;
constexpr int world_engines = 4;
constexpr int staleness_bound = 1;
constexpr base::millis tick_ms = 20;
constexpr base::millis heartbeat_ms = 250;
constexpr base::millis member_timeout = 1500;
constexpr base::millis pull_wait = 1000;
constexpr base::millis call_margin = 500;
constexpr base::millis http_timeout = 1000;

// Several nodes' homes of steps and engines, without sockets and under a time
// that the test moves. They exchange the real messages in their encoding.

/// What lies between the nodes and around them.
class surroundings {
public:
    explicit surroundings(std::uint64_t seed) : random(seed) {
        for (int i = 0; i < world_engines; ++i) {
            engines.emplace_back(base::engine_id("e" + std::to_string(i)),
                                 i % 2 == 0);
        }
    }

    /// Returns how long a message takes now, or nothing if it is lost.
    std::optional<base::millis> delay() {
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
    bool repeats() { return faulty && random() % 20 == 0; }

    model_engine& engine(const base::engine_id& id) {
        return *std::find_if(engines.begin(), engines.end(),
                             [&](const auto& e) { return e.id() == id; });
    }

    /// Returns the list of instances as it is now.
    wire::instance_page page() const {
        wire::instance_page page;
        for (const auto& e : engines) {
            wire::instance row;
            row.id = e.id().str();
            row.role = wire::instance_role::engine;
            row.state = e.leaving ? wire::instance_state::leaving
                                  : wire::instance_state::live;
            row.group = "pool";
            page.instances.push_back(row);
        }
        return page;
    }

    schedule time;
    std::mt19937_64 random;
    bool faulty = true;
    std::uint64_t loss_percent = 2;
    std::vector<model_engine> engines;
    /// Pairs of names between which nothing passes.
    std::set<std::pair<std::string, std::string>> cut;
    std::int64_t log_end = 0;
};

/// The part of a node that has to do with samples, on messages of the test.
class sample_node {
public:
    using pull_done = std::function<void(wire::pull_answer)>;
    using send_function =
        std::function<void(const base::node_id&, wire::peer_message)>;

    /// Defers an event of a node; it is dropped with the node's process.
    using defer_function =
        std::function<void(base::millis, std::function<void()>)>;

    sample_node(surroundings& around, int number, std::uint64_t incarnation,
                send_function send, defer_function later)
        : around_(around), self_("n" + std::to_string(number)),
          incarnation_(incarnation), send_(std::move(send)),
          later_(std::move(later)), members_(self_, member_timeout),
          reach_(10000),
          steps_(
              self_, times(), [this](const auto& q) { return choose(q); },
              [](const base::trainer_id&) {
                  return std::make_optional(staleness_bound);
              },
              [number](const base::trainer_id&) -> cluster::straggler_policy {
                  if (number % 2 == 0) {
                      return cluster::straggler_move{};
                  }
                  return cluster::straggler_raise_priority{};
              }),
          homed_(self_, {},
                 [this](base::millis now, const base::engine_id& e,
                        const wire::trainer_version& v) {
                     return may_swap(now, e, v);
                 }),
          random_(incarnation) {}

    const base::node_id& id() const { return self_; }

    /// What a node does each tick.
    void tick() {
        const auto now = around_.time.now();
        if (now - beat_at_ >= heartbeat_ms) {
            beat(now);
        }
        if (now - listed_at_ >= 500) {
            listed_at_ = now;
            table_.update(around_.page());
            assign();
        }
        members_.expire(now);
        if (reach_.expire(now) || members_.generation() != generation_) {
            generation_ = members_.generation();
            assign();
        }
        expire_calls(now);
        homed_.tick(now, versions_.all());
        steps_.tick(now);
        carry_out();
        poll_engines(now);
    }

    /// A trainer's pull reaches this node.
    void pull(const wire::pull_step& message, const pull_done& done) {
        const auto home = members_.home_of("trainer/" + message.trainer.str());
        if (home == self_) {
            pull_here(message, done);
            return;
        }
        const auto until =
            around_.time.now() + message.request.wait_ms + call_margin;
        const auto trainer = message.trainer;
        call(home, message, until,
             [this, trainer, done](const wire::reply_body* body) {
                 if (body != nullptr) {
                     auto answer = std::get<wire::pull_answer>(*body);
                     cluster::drop_stale(answer, versions_.newest(trainer),
                                         staleness_bound);
                     done(std::move(answer));
                 }
             });
    }

    /// A trainer opens a step here.
    void open(const wire::open_step& message) {
        const auto home = members_.home_of("trainer/" + message.trainer.str());
        if (home == self_) {
            steps_.open(around_.time.now(), message);
            carry_out();
        } else {
            call(home, message, around_.time.now() + 1000, [](const auto*) {});
        }
    }

    /// A trainer publishes a version here; `done` when no pull of before can
    /// deliver what is older than the bound.
    void publish(const wire::learn_version& message,
                 const std::function<void()>& done) {
        learn(message.trainer, message.version);
        auto left = std::make_shared<int>(world_nodes - 1);
        const auto until = around_.time.now() + pull_wait + call_margin;
        for (int i = 0; i < world_nodes; ++i) {
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
        carry_out();
    }

private:
    using reply_done = std::function<void(const wire::reply_body*)>;

    static cluster::step_times times() {
        cluster::step_times t;
        t.adoption = 300;
        return t;
    }

    void handle(const wire::heartbeat& m) {
        members_.hear(around_.time.now(), m);
        for (const auto& d : m.engines) {
            table_.hear(around_.time.now(), d);
        }
        for (const auto& v : m.versions) {
            learn(v.trainer, v.version);
        }
        if (reach_.hear(around_.time.now(), m.node, m.engines)) {
            assign();
        }
    }

    void handle(const wire::call& m) {
        const auto to = m.from;
        const auto id = m.id;
        const auto reply = [this, to, id](wire::reply_body body) {
            send_(to, wire::reply{id, std::move(body)});
        };
        if (const auto* p = std::get_if<wire::pull_step>(&m.body)) {
            pull_here(*p, reply);
        } else if (const auto* o = std::get_if<wire::open_step>(&m.body)) {
            versions_.learn(around_.time.now(), o->trainer, o->request.version);
            reply(steps_.open(around_.time.now(), *o));
        } else if (const auto* v = std::get_if<wire::learn_version>(&m.body)) {
            learn(v->trainer, v->version);
            reply(wire::version_answer{});
        } else if (const auto* s = std::get_if<wire::place_sample>(&m.body)) {
            reply(homed_.place(around_.time.now(), *s));
        }
    }

    void handle(const wire::reply& m) {
        const auto at = calls_.find(m.id);
        if (at == calls_.end() || around_.time.now() > at->second.first) {
            return;
        }
        const auto done = std::move(at->second.second);
        calls_.erase(at);
        done(&m.body);
    }

    void handle(const wire::sample_report& m) { report(m); }

    void handle(const wire::sample_ack& m) { homed_.acknowledge(m); }

    void handle(const wire::cancel_streams& m) { homed_.cancel(m); }

    void handle(const wire::document_want& /*m*/) {}
    void handle(const wire::document_offer& /*m*/) {}

    void call(const base::node_id& to, wire::call_body body, base::millis until,
              reply_done done) {
        const auto id = incarnation_ * 1000000 + ++last_call_;
        calls_.emplace(id, std::make_pair(until, std::move(done)));
        send_(to, wire::call{id, self_, until - around_.time.now(),
                             std::move(body)});
    }

    void expire_calls(base::millis now) {
        std::vector<reply_done> ended;
        for (auto at = calls_.begin(); at != calls_.end();) {
            if (now >= at->second.first) {
                ended.push_back(std::move(at->second.second));
                at = calls_.erase(at);
            } else {
                ++at;
            }
        }
        for (const auto& done : ended) {
            done(nullptr);
        }
    }

    void beat(base::millis now) {
        beat_at_ = now;
        wire::heartbeat beat;
        beat.node = self_;
        beat.incarnation = incarnation_;
        beat.state = wire::node_state::ready;
        beat.versions = versions_.all();
        beat.engines = homed_.digests(now);
        handle(beat);
        for (int i = 0; i < world_nodes; ++i) {
            const base::node_id node("n" + std::to_string(i));
            if (node != self_) {
                send_(node, beat);
            }
        }
    }

    void assign() {
        std::map<base::engine_id, cluster::engine_traits> ours;
        std::map<base::engine_id, base::node_id> homes;
        std::set<base::engine_id> moved;
        for (const auto& [id, row] : table_.all()) {
            const auto home = reach_.home_of(id, members_);
            const auto known = homes_.find(id);
            if (known != homes_.end() && known->second != home) {
                moved.insert(id);
            }
            homes.emplace(id, home);
            if (home == self_) {
                cluster::engine_traits traits;
                traits.slots = model_engine::slots;
                traits.queue = 3;
                traits.leaving = row.leaving;
                traits.checks_fencing = around_.engine(id).checks_fencing();
                traits.trainers = {base::trainer_id("t0"),
                                   base::trainer_id("t1")};
                ours.emplace(id, traits);
            }
        }
        homes_ = std::move(homes);
        const auto now = around_.time.now();
        homed_.assign(now, ours);
        steps_.ask_again(now,
                         [&](const auto& e) { return moved.count(e) > 0; });
        steps_.release([this](const base::trainer_id& t) {
            return members_.is_home("trainer/" + t.str());
        });
    }

    void learn(const base::trainer_id& t, wire::weight_version v) {
        if (versions_.learn(around_.time.now(), t, v)) {
            steps_.learn(around_.time.now(), t, v);
        }
    }

    void pull_here(const wire::pull_step& m, pull_done done) {
        const auto now = around_.time.now();
        versions_.learn(now, m.trainer, m.request.version);
        steps_.learn(now, m.trainer, versions_.newest(m.trainer));
        waiters_[++last_waiter_] = std::move(done);
        steps_.pull(now, last_waiter_, m);
        carry_out();
    }

    void report(const wire::sample_report& m) {
        auto finished = steps_.report(around_.time.now(), m);
        if (!finished.empty()) {
            deliver(m.from, wire::sample_ack{std::move(finished)});
        }
        if (m.forwarded) {
            return;
        }
        std::map<base::node_id, wire::sample_report> others;
        for (const auto& one : m.streams) {
            const auto name = cluster::parse_stream(one.stream);
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
    void deliver(const base::node_id& to, const wire::peer_message& message) {
        if (to == self_) {
            std::visit([this](const auto& m) { handle(m); }, message);
        } else if (!to.empty()) {
            send_(to, message);
        }
    }

    std::optional<cluster::placement>
    choose(const cluster::placement_query& query) {
        std::vector<candidate> open;
        const auto oldest = std::max<wire::weight_version>(
            1, versions_.newest(query.trainer) - staleness_bound);
        for (const auto* row : table_.usable(base::pool_id("pool"))) {
            if (version_in(*row, query.trainer) >= oldest) {
                open.push_back({row->id, row->load(), 6});
            }
        }
        const auto* chosen =
            policy::choose(policy_, open, *query.prompt, random_);
        if (chosen == nullptr) {
            return std::nullopt;
        }
        table_.note_placed(chosen->engine, query.trainer);
        return cluster::placement{chosen->engine, query.straggler ? 1000 : 0};
    }

    static wire::weight_version version_in(const cluster::engine_row& row,
                                           const base::trainer_id& trainer) {
        for (const auto& s : row.digest.serving) {
            if (s.trainer == trainer) {
                return s.version;
            }
        }
        return 0;
    }

    bool may_swap(base::millis now, const base::engine_id& engine,
                  const wire::trainer_version& version) const {
        rollout plan;
        plan.share = 0.34;
        plan.elapsed = now - versions_.learnt_at(version.trainer);
        std::vector<swap_candidate> behind;
        for (const auto* row : table_.usable(base::pool_id("pool"))) {
            ++plan.engines;
            if (version_in(*row, version.trainer) < version.version) {
                behind.push_back({row->id, row->load()});
            }
        }
        return swap_turn(plan, behind, engine);
    }

    void carry_out() {
        for (const auto& effect : steps_.take_effects()) {
            std::visit([this](const auto& e) { run(e); }, effect);
        }
        for (const auto& effect : homed_.take_effects()) {
            std::visit([this](const auto& e) { run(e); }, effect);
        }
    }

    void run(const cluster::place_stream& e) {
        const auto home = reach_.home_of(e.engine, members_);
        const wire::place_sample message{e.engine, self_, e.start};
        const auto stream = e.start.stream;
        const auto placed = [this, stream](const wire::place_answer& a) {
            if (a.result == wire::outcome::not_run) {
                steps_.refused(around_.time.now(), stream, a.retry_after_ms);
            }
        };
        if (home == self_) {
            placed(homed_.place(around_.time.now(), message));
            return;
        }
        call(home, message, around_.time.now() + 1000,
             [placed](const wire::reply_body* body) {
                 if (body != nullptr) {
                     placed(std::get<wire::place_answer>(*body));
                 }
             });
    }

    void run(const cluster::cancel_stream& e) {
        deliver(reach_.home_of(e.engine, members_),
                wire::cancel_streams{e.engine, {e.stream}, self_});
    }

    void run(const cluster::answer_pull& e) {
        const auto at = waiters_.find(e.waiter);
        const auto done = std::move(at->second);
        waiters_.erase(at);
        done(e.answer);
    }

    /// Sends `request` to an engine and its answer to `done`: false if none
    /// came within the time of an HTTP call.
    template <class R>
    void ask(const base::engine_id& id, R request,
             std::function<void(bool)> done) {
        const auto there = around_.delay();
        const auto back = around_.delay();
        const bool open = around_.cut.count({self_.str(), id.str()}) == 0;
        if (!there || !open) {
            later_(http_timeout, [done] { done(false); });
            return;
        }
        around_.time.after(*there, [&around = around_, id, request, done, back,
                                    later = later_]() {
            auto& engine = around.engine(id);
            const bool up = engine.up;
            if (up) {
                request(engine);
            }
            const bool lost = !up || !back || *back > http_timeout;
            later(lost ? http_timeout : *back, [done, lost] { done(!lost); });
        });
    }

    void run(const cluster::start_at_engine& e) {
        const auto start = e.start;
        ask(
            e.engine, [start](model_engine& m) { m.start(start); },
            [this, id = e.engine, stream = start.stream](bool ok) {
                homed_.start_ended(id, stream, ok);
            });
    }

    void run(const cluster::stop_at_engine& e) {
        ask(
            e.engine, [s = e.stream](model_engine& m) { m.stop(s); },
            [](bool) {});
    }

    void run(const cluster::order_engine& e) {
        auto verdict = std::make_shared<wire::order_verdict>();
        ask(
            e.engine,
            [order = e.order, verdict](model_engine& m) {
                *verdict = m.order(order, m.swaps_fail);
            },
            [this, id = e.engine, verdict](bool ok) {
                homed_.ordered(around_.time.now(), id,
                               ok ? std::make_optional(*verdict)
                                  : std::nullopt);
            });
    }

    void run(const cluster::send_report& e) {
        if (e.to != self_ && members_.find(e.to) != nullptr) {
            send_(e.to, e.report);
        } else {
            report(e.report);
        }
    }

    void run(const cluster::take_epoch& /*e*/) {
        const auto epoch = ++around_.log_end;
        if (around_.faulty && around_.random() % 4 == 0) {
            later_(500,
                   [this] { homed_.epoch_failed(around_.time.now() + 300); });
        } else {
            later_(20, [this, epoch] { homed_.epoch_taken(epoch); });
        }
    }

    void poll_engines(base::millis now) {
        for (const auto& [id, row] : homed_.engines()) {
            if (now - polled_at_[id] < 40 || !polling_.insert(id).second) {
                continue;
            }
            polled_at_[id] = now;
            auto news = std::make_shared<wire::engine_news>();
            ask(
                id,
                [poll = homed_.poll_of(id), news](model_engine& m) {
                    *news = m.poll(poll);
                },
                [this, engine = id, news](bool ok) {
                    polling_.erase(engine);
                    if (ok) {
                        homed_.news(around_.time.now(), engine, *news);
                    } else {
                        homed_.poll_failed(engine);
                    }
                });
        }
    }

    surroundings& around_;
    base::node_id self_;
    std::uint64_t incarnation_;
    send_function send_;
    defer_function later_;
    cluster::member_table members_;
    cluster::engine_table table_;
    cluster::engine_reach reach_;
    cluster::version_table versions_;
    cluster::step_home steps_;
    cluster::engine_home homed_;
    placement_policy policy_ = prefix_affinity{};
    std::mt19937_64 random_;
    std::map<base::engine_id, base::node_id> homes_;
    std::map<std::uint64_t, std::pair<base::millis, reply_done>> calls_;
    std::uint64_t last_call_ = 0;
    std::map<cluster::waiter_id, pull_done> waiters_;
    cluster::waiter_id last_waiter_ = 0;
    std::set<base::engine_id> polling_;
    std::map<base::engine_id, base::millis> polled_at_;
    base::millis beat_at_ = -heartbeat_ms;
    base::millis listed_at_ = -500;
    std::uint64_t generation_ = 0;
};

} // namespace hibiscus::policy
