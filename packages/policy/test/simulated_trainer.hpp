#pragma once

#include "simulated_node.hpp"

#include <sstream>

namespace hibiscus::policy {

/// The processes of the nodes, which may crash, pause and resume.
class simulated_processes {
public:
    explicit simulated_processes(simulated_environment& environment)
        : environment_(environment), rows_(node_count) {
        for (int i = 0; i < node_count; ++i) {
            start(i);
        }
    }

    /// Returns the node, or null while its process is down.
    simulated_node* node(int number) { return rows_[index(number)].node.get(); }

    /// Crashes a process, which restarts after `ms`.
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

    /// Pauses a process for `ms`.
    void pause(int number, base::millis ms) {
        auto& row = rows_[index(number)];
        if (row.node == nullptr || row.paused) {
            return;
        }
        row.paused = true;
        environment_.scheduler.run_after(
            ms, [this, number, i = row.incarnation] { resume(number, i); });
    }

    /// Runs an event in a process after `delay` ms, unless the process ends
    /// before then.
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
                // Drops an event scheduled by a process that has ended.
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
        // Events that arrived during the pause came over several sockets, so
        // their order is random.
        row.paused = false;
        auto deferred = std::move(row.deferred_events);
        row.deferred_events.clear();
        std::shuffle(deferred.begin(), deferred.end(), environment_.random);
        for (const auto& event : deferred) {
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

/// A trainer that works through its steps and checks each sample that it gets.
class simulated_trainer {
public:
    static constexpr wire::step_number step_count = 5;
    static constexpr std::uint32_t samples_per_step = 12;

    simulated_trainer(simulated_environment& environment,
                      simulated_processes& nodes, int number)
        : environment_(environment), processes_(nodes),
          name_("t" + std::to_string(number)) {
        publish();
        pull();
    }

    /// Returns the first violation, or "".
    const std::string& violation() const { return violation_; }

    /// Returns true if all steps are complete.
    bool is_finished() const { return step_ > step_count; }

    /// Returns the trainer's progress, for failure messages.
    std::string describe_state() const {
        std::ostringstream out;
        out << name_.str() << " step " << step_ << " has " << received_.size()
            << " of " << samples_per_step << ", version " << version_;
        return out.str();
    }

    /// Publishes a new version and announces it to random nodes until one
    /// acknowledges it.
    void publish() {
        ++version_;
        announce_version();
    }

    /// Loses the received samples of the current step, as a restarted process
    /// would.
    void restart() {
        received_.clear();
        ++last_pull_number_;
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

    /// Sends a pull, and another one when the response has arrived or the pull
    /// has timed out.
    void pull() {
        if (is_finished()) {
            return;
        }
        const auto pull_number = ++last_pull_number_;
        wire::pull_step message{name_, step_, {}};
        message.request.pull = pull_number;
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
                    message, [this, message](auto response) {
                        on_response_sent(message.request, std::move(response));
                    });
            });
        }
        environment_.scheduler.run_after(
            pull_wait_ms + 2 * call_margin_ms, [this, pull_number] {
                if (pull_number == last_pull_number_) {
                    pull();
                }
            });
    }

    /// Called when the entry node sends a response.
    void on_response_sent(const wire::pull_request& request,
                          wire::pull_response response) {
        const auto newest_known = std::max(request.version, acknowledged_);
        for (const auto& sample : response.samples) {
            for (const auto& chunk : sample.chunks) {
                if (chunk.version < newest_known - staleness_bound) {
                    record_violation("a stale sample left an entry node",
                                     sample);
                }
            }
        }
        if (const auto delay = environment_.draw_message_delay()) {
            environment_.scheduler.run_after(
                *delay, [this, delivered_response = std::move(response)] {
                    if (delivered_response.pull == last_pull_number_) {
                        on_response(delivered_response);
                    }
                });
        }
    }

    void on_response(const wire::pull_response& response) {
        if (response.why == wire::reason::unknown_step) {
            open_step();
        }
        for (const auto& sample : response.samples) {
            if (!received_.insert(sample.slot).second) {
                record_violation("a sample slot was delivered twice", sample);
            }
            if (!environment_.engine(sample.engine).has_produced(sample)) {
                record_violation("no engine produced this text", sample);
            }
        }
        if (received_.size() == samples_per_step) {
            received_.clear();
            ++step_;
            publish();
        }
        ++last_pull_number_;
        const auto pause =
            response.result == wire::outcome::completed
                ? 0
                : std::max<base::millis>(20, response.retry_after_ms);
        environment_.scheduler.run_after(
            pause, [this, pull_number = last_pull_number_] {
                if (pull_number == last_pull_number_) {
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
                 {{"a" + name_.str(), samples_per_step / 2, 10},
                  {"b" + name_.str(), samples_per_step / 2, 10}}}};
            processes_.run_at_node(entry, *delay, [this, entry, message] {
                processes_.node(entry)->open(message);
            });
        }
    }

    void record_violation(const std::string& violation,
                          const wire::sample& sample) {
        std::ostringstream out;
        out << violation << " at " << environment_.scheduler.now() << ": "
            << name_.str() << " step " << step_ << " slot " << sample.slot
            << " attempt " << sample.attempt << " of " << sample.engine.str()
            << ", version " << version_ << ", acknowledged " << acknowledged_
            << ":";
        for (const auto& chunk : sample.chunks) {
            out << " " << chunk.text << "@" << chunk.version;
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
    std::int64_t last_pull_number_ = 0;
    std::set<wire::slot_index> received_;
    std::string violation_;
};

} // namespace hibiscus::policy
