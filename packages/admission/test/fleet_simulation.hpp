#pragma once

#include "hibiscus/admission/service_gate.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace hibiscus::testing {

/// A fleet of nodes with gates before one service, in virtual time.
class fleet_simulation {
public:
    struct options {
        int nodes = 81;
        int servers = 3;
        bool admission = true;
        /// Nodes that don't learn of the others, as a part of all.
        double nodes_with_old_view = 0;
        unsigned seed = 1;
    };

    /// What the callers of a workspace got.
    struct counts {
        int sent = 0;
        int in_time = 0;
        int rejected = 0;
        int late_rejections = 0;
    };

    explicit fleet_simulation(options o) : options_(o), random_(o.seed) {
        for (int n = 0; n < o.nodes; ++n) {
            gates_.push_back(std::make_unique<admission::service_gate>(
                admission::gate_settings{}));
        }
        servers_.resize(static_cast<std::size_t>(o.servers));
        every(exchange_ms, [this] { exchange_demands(); });
    }

    /// Lets callers of a workspace send requests until `until`, at random nodes
    /// or at `node`.
    void add_callers(const std::string& workspace, double per_s,
                     base::millis until, int node = -1,
                     bool ignores_retry_after = false) {
        send_next({workspace, per_s, until, node, ignores_retry_after});
    }

    void run_until(base::millis end) {
        while (!events_.empty() && events_.top().at <= end) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
        now_ = end;
    }

    /// Returns the counts since the last call.
    std::map<std::string, counts> take_counts() {
        return std::exchange(counts_, {});
    }

    /// Requests per second that the servers can serve.
    double room_per_s() const {
        return options_.servers * slots * 1000.0 / mean_service_ms;
    }

    /// The sum of the shares of all nodes, and the room as they know it.
    double share_sum() {
        double sum = 0;
        for (auto& gate : gates_) {
            sum += share_of(gate->demand(now_), gate->levels()).callers;
        }
        return sum;
    }

    double room() const { return gates_[0]->levels().room; }

    /// The rate to which a node limits its callers, in slots.
    double level(std::size_t node) const {
        return gates_[node]->rates().callers;
    }

    int slot_count() const { return options_.servers * slots; }

    static constexpr base::millis deadline_ms = 2000;

private:
    static constexpr int slots = 6;
    static constexpr std::size_t server_queue = 24;
    static constexpr base::millis exchange_ms = 500;
    static constexpr double mean_service_ms = 400;
    static constexpr int max_attempts = 2;
    static constexpr int max_retries = 2;

    struct caller_group {
        std::string workspace;
        double per_s = 0;
        base::millis until = 0;
        int node = -1;
        bool ignores_retry_after = false;
    };

    struct request {
        caller_group group;
        std::size_t node = 0;
        base::millis deadline = 0;
        int attempts = 0;
        int retries = 0;
        base::millis arrived_at = 0;
        base::millis sent_at = 0;
    };
    using request_ptr = std::shared_ptr<request>;

    struct server_state {
        int running = 0;
        std::deque<std::function<void()>> waiting;
    };

    struct event {
        base::millis at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void after(base::millis ms, std::function<void()> action) {
        events_.push({now_ + ms, ++event_count_, std::move(action)});
    }

    void every(base::millis ms, std::function<void()> action) {
        after(ms, [this, ms, action] {
            action();
            every(ms, action);
        });
    }

    void send_next(const caller_group& group) {
        std::exponential_distribution<double> gap(group.per_s / 1000);
        after(static_cast<base::millis>(gap(random_)), [this, group] {
            if (now_ < group.until) {
                ++counts_[group.workspace].sent;
                auto r = std::make_shared<request>();
                r->group = group;
                r->deadline = now_ + deadline_ms;
                arrive(r);
                send_next(group);
            }
        });
    }

    void arrive(const request_ptr& r) {
        r->node = r->group.node >= 0 ? static_cast<std::size_t>(r->group.node)
                                     : random_() % gates_.size();
        r->arrived_at = now_;
        r->attempts = 0;
        if (!options_.admission) {
            send(r);
            return;
        }
        const auto number = ++request_count_;
        auto& gate = *gates_[r->node];
        const auto decision =
            gate.on_arrival({number, admission::traffic_kind::callers, 5,
                             r->group.workspace, "lookup", r->deadline},
                            now_);
        if (decision.outcome == admission::verdict::queued) {
            queued_[number] = r;
            poll_later(r->node);
        } else {
            on_decision(r, decision);
        }
    }

    void poll_later(std::size_t node) {
        const auto delay = gates_[node]->poll_delay(now_);
        if (delay == 0) {
            return;
        }
        after(delay, [this, node] {
            for (const auto& released : gates_[node]->poll(now_)) {
                const auto found = queued_.find(released.number);
                const auto r = found->second;
                queued_.erase(found);
                on_decision(r, released.decision);
            }
            poll_later(node);
        });
    }

    void on_decision(const request_ptr& r,
                     const admission::gate_decision& decision) {
        if (decision.outcome == admission::verdict::admitted) {
            send(r);
        } else {
            reject(r, decision.retry_after_ms);
        }
    }

    void reject(const request_ptr& r, base::millis retry_after_ms) {
        auto& c = counts_[r->group.workspace];
        ++c.rejected;
        c.late_rejections += now_ - r->arrived_at > deadline_ms / 4 ? 1 : 0;
        const auto wait_ms =
            r->group.ignores_retry_after
                ? 10
                : std::min(retry_after_ms, (r->deadline - now_) / 3);
        if (r->retries++ < max_retries && now_ + wait_ms < r->deadline) {
            after(wait_ms, [this, r] { arrive(r); });
        }
    }

    void send(const request_ptr& r) {
        const auto number = random_() % servers_.size();
        auto& server = servers_[number];
        const auto name = std::to_string(number);
        ++r->attempts;
        r->sent_at = now_;
        const bool runs = server.running < slots;
        if (!runs && server.waiting.size() >= server_queue) {
            auto& gate = *gates_[r->node];
            gate.on_rejected(name, now_);
            const bool may_repeat =
                !options_.admission || gate.may_repeat(1, now_);
            if (r->attempts < max_attempts && may_repeat) {
                send(r);
            } else {
                reject(r, 100);
            }
            return;
        }
        gates_[r->node]->on_sent(now_);
        const auto start = [this, r, &server, name] { run(r, server, name); };
        if (runs) {
            start();
        } else {
            server.waiting.push_back(start);
        }
    }

    void run(const request_ptr& r, server_state& server,
             const std::string& name) {
        if (now_ > r->deadline) {
            gates_[r->node]->on_ended(now_);
            start_next(server);
            return;
        }
        ++server.running;
        std::uniform_real_distribution<double> time(mean_service_ms / 2,
                                                    mean_service_ms * 1.5);
        after(static_cast<base::millis>(time(random_)), [this, r, &server,
                                                         name] {
            --server.running;
            gates_[r->node]->on_ended(now_);
            gates_[r->node]->on_response(name, "lookup", now_ - r->sent_at,
                                         now_);
            counts_[r->group.workspace].in_time += now_ <= r->deadline ? 1 : 0;
            start_next(server);
        });
    }

    static void start_next(server_state& server) {
        if (!server.waiting.empty() && server.running < slots) {
            const auto next = server.waiting.front();
            server.waiting.pop_front();
            next();
        }
    }

    /// All nodes learn what the others wanted half an interval ago.
    void exchange_demands() {
        std::vector<admission::node_demand> demands;
        demands.reserve(gates_.size());
        for (auto& gate : gates_) {
            demands.push_back(gate->demand(now_));
        }
        after(exchange_ms / 2, [this, demands] {
            const auto levels = room_.share(slot_count(), demands, 0.25, now_);
            const auto with_old_view =
                static_cast<std::size_t>(options_.nodes_with_old_view *
                                         static_cast<double>(gates_.size()));
            for (std::size_t n = 0; n < gates_.size(); ++n) {
                if (n < with_old_view) {
                    gates_[n]->adapt_alone(now_);
                } else {
                    gates_[n]->set_levels(levels, now_);
                }
            }
        });
    }

    options options_;
    base::millis now_ = 0;
    std::mt19937 random_;
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
    std::uint64_t request_count_ = 0;
    std::vector<std::unique_ptr<admission::service_gate>> gates_;
    std::vector<server_state> servers_;
    admission::fleet_room room_;
    std::map<std::uint64_t, request_ptr> queued_;
    std::map<std::string, counts> counts_;
};

} // namespace hibiscus::testing
