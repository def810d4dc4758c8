#pragma once

#include "sample_node.hpp"

#include <sstream>

namespace hibiscus::policy {

/// The processes of the nodes: they may crash, stand still and wake.
class simulated_processes {
public:
    explicit simulated_processes(simulated_environment& around)
        : environment_(around), rows_(node_count) {
        for (int i = 0; i < node_count; ++i) {
            start(i);
        }
    }

    /// Returns the node, or null while its process is down.
    simulated_node* node(int number) { return rows_[index(number)].node.get(); }

    /// Ends a process; it comes back after `ms`.
    void crash(int number, base::millis ms) {
        auto& row = rows_[index(number)];
        if (row.node != nullptr) {
            row.node.reset();
            row.deferred_events.clear();
            row.paused = false;
            ++row.incarnation;
            environment_.scheduler.run_after(
                ms, [this, number] { start(number % node_count); });
        }
    }

    /// Lets a process stand still for `ms`.
    void pause(int number, base::millis ms) {
        auto& row = rows_[index(number)];
        if (row.node == nullptr || row.paused) {
            return;
        }
        row.paused = true;
        environment_.scheduler.run_after(
            ms, [this, number, i = row.incarnation] { resume(number, i); });
    }

    /// Lets an event happen in a process after `delay`, unless it ends before.
    void run_at_node(int number, base::millis delay,
                     std::function<void()> event) {
        const auto incarnation = rows_[index(number)].incarnation;
        environment_.scheduler.run_after(
            delay, [this, number, incarnation, e = std::move(event)] {
                auto& row = rows_[index(number)];
                if (row.node == nullptr || row.incarnation != incarnation) {
                    return;
                }
                if (row.paused) {
                    row.deferred_events.push_back(e);
                } else {
                    e();
                }
            });
    }

private:
    struct process_row {
        std::unique_ptr<simulated_node> node;
        std::uint64_t incarnation = 0;
        bool paused = false;
        std::vector<std::function<void()>> deferred_events;
    };

    static std::size_t index(int number) {
        return static_cast<std::size_t>(number % node_count);
    }

    void start(int number) {
        auto& row = rows_[index(number)];
        const auto incarnation = ++row.incarnation;
        row.node = std::make_unique<simulated_node>(
            environment_, number, incarnation,
            [this, number](const base::node_id& to,
                           const wire::peer_message& message) {
                send(number, to, message);
            },
            [this, number, incarnation](base::millis delay,
                                        std::function<void()> event) {
                // The answer to a question of the process before.
                if (rows_[index(number)].incarnation == incarnation) {
                    run_at_node(number, delay, std::move(event));
                }
            });
        tick(number);
    }

    void tick(int number) {
        node(number)->tick();
        run_at_node(number, tick_ms, [this, number] { tick(number); });
    }

    void resume(int number, std::uint64_t incarnation) {
        auto& row = rows_[index(number)];
        if (row.node == nullptr || row.incarnation != incarnation) {
            return;
        }
        // What has come meanwhile lies in several sockets.
        row.paused = false;
        auto held = std::move(row.deferred_events);
        row.deferred_events.clear();
        std::shuffle(held.begin(), held.end(), environment_.random);
        for (const auto& event : held) {
            event();
        }
    }

    void send(int from, const base::node_id& to,
              const wire::peer_message& message) {
        const int number = to.str().back() - '0';
        const auto bytes = wire::to_cbor(message);
        const std::string name = "n" + std::to_string(from);
        for (int copies = environment_.should_duplicate() ? 2 : 1; copies > 0;
             --copies) {
            const auto delay = environment_.draw_message_delay();
            if (!delay ||
                environment_.blocked_links.count({name, to.str()}) > 0) {
                continue;
            }
            run_at_node(number, *delay, [this, number, bytes] {
                const auto read = wire::from_cbor(bytes);
                node(number)->receive(*base::value_if(read));
            });
        }
    }

    simulated_environment& environment_;
    std::vector<process_row> rows_;
};

/// A trainer that works through its steps and judges each sample it takes.
class simulated_trainer {
public:
    static constexpr wire::step_number steps = 5;
    static constexpr std::uint32_t samples = 12;

    simulated_trainer(simulated_environment& around, simulated_processes& nodes,
                      int number)
        : environment_(around), processes_(nodes),
          name_("t" + std::to_string(number)) {
        publish();
        pull();
    }

    /// Returns what went wrong, or "".
    const std::string& violation() const { return violation_; }

    /// Returns true if all steps are whole.
    bool is_finished() const { return step_ > steps; }

    /// Returns what it waits for.
    std::string describe_state() const {
        std::ostringstream out;
        out << name_.str() << " step " << step_ << " has " << received_.size()
            << " of " << samples << ", version " << version_;
        return out.str();
    }

    /// Puts new weights into the store and tells an entry, until it is
    /// acknowledged.
    void publish() {
        ++version_;
        announce_version();
    }

    /// Loses what it has of the present step, as a restarted process would.
    void restart() {
        received_.clear();
        ++last_pull_;
        pull();
    }

private:
    int any_node() {
        return static_cast<int>(environment_.random() % node_count);
    }

    void announce_version() {
        if (acknowledged_ >= version_) {
            return;
        }
        const int entry = any_node();
        const auto delay = environment_.draw_message_delay();
        if (delay) {
            processes_.run_at_node(entry, *delay, [this, entry, v = version_] {
                processes_.node(entry)->publish({name_, v}, [this, v] {
                    acknowledged_ = std::max(acknowledged_, v);
                });
            });
        }
        environment_.scheduler.run_after(pull_wait_ms + 4 * call_margin_ms,
                                         [this] { announce_version(); });
    }

    /// Pulls once, and again when the answer has come or its time is over.
    void pull() {
        if (is_finished()) {
            return;
        }
        const auto number = ++last_pull_;
        wire::pull_step message{name_, step_, {}};
        message.request.pull = number;
        message.request.version = version_;
        message.request.wait_ms = pull_wait_ms;
        for (const auto slot : received_) {
            message.request.received.push_back({slot, slot});
        }
        const int entry = any_node();
        const auto delay = environment_.draw_message_delay();
        if (delay) {
            processes_.run_at_node(entry, *delay, [this, entry, message] {
                processes_.node(entry)->pull(
                    message, [this, message](auto answer) {
                        on_response_sent(message.request, std::move(answer));
                    });
            });
        }
        environment_.scheduler.run_after(pull_wait_ms + 2 * call_margin_ms,
                                         [this, number] {
                                             if (number == last_pull_) {
                                                 pull();
                                             }
                                         });
    }

    /// An answer leaves its entry.
    void on_response_sent(const wire::pull_request& request,
                          wire::pull_response answer) {
        const auto fresh = std::max(request.version, acknowledged_);
        for (const auto& s : answer.samples) {
            for (const auto& c : s.chunks) {
                if (c.version < fresh - staleness_bound) {
                    record_fault("a stale sample left an entry", s);
                }
            }
        }
        if (const auto delay = environment_.draw_message_delay()) {
            environment_.scheduler.run_after(*delay,
                                             [this, a = std::move(answer)] {
                                                 if (a.pull == last_pull_) {
                                                     on_response(a);
                                                 }
                                             });
        }
    }

    void on_response(const wire::pull_response& answer) {
        if (answer.why == wire::reason::unknown_step) {
            open_step();
        }
        for (const auto& s : answer.samples) {
            if (!received_.insert(s.slot).second) {
                record_fault("a slot came twice", s);
            }
            if (!environment_.engine(s.engine).has_produced(s)) {
                record_fault("no engine produced this text", s);
            }
        }
        if (received_.size() == samples) {
            received_.clear();
            ++step_;
            publish();
        }
        ++last_pull_;
        const auto pause =
            answer.result == wire::outcome::completed
                ? 0
                : std::max<base::millis>(20, answer.retry_after_ms);
        environment_.scheduler.run_after(pause, [this, p = last_pull_] {
            if (p == last_pull_) {
                pull();
            }
        });
    }

    void open_step() {
        const int entry = any_node();
        if (const auto delay = environment_.draw_message_delay()) {
            const wire::open_step message{
                name_,
                step_,
                {version_,
                 {{"a" + name_.str(), samples / 2, 10},
                  {"b" + name_.str(), samples / 2, 10}}}};
            processes_.run_at_node(entry, *delay, [this, entry, message] {
                processes_.node(entry)->open(message);
            });
        }
    }

    void record_fault(const std::string& what, const wire::sample& s) {
        std::ostringstream out;
        out << what << " at " << environment_.scheduler.now() << ": "
            << name_.str() << " step " << step_ << " slot " << s.slot
            << " attempt " << s.attempt << " of " << s.engine.str()
            << ", version " << version_ << ", acknowledged " << acknowledged_
            << ":";
        for (const auto& c : s.chunks) {
            out << " " << c.text << "@" << c.version;
        }
        if (violation_.empty()) {
            violation_ = out.str();
        }
    }

    simulated_environment& environment_;
    simulated_processes& processes_;
    base::trainer_id name_;
    wire::weight_version version_ = 0;
    wire::weight_version acknowledged_ = 0;
    wire::step_number step_ = 1;
    std::int64_t last_pull_ = 0;
    std::set<wire::slot_index> received_;
    std::string violation_;
};

} // namespace hibiscus::policy
