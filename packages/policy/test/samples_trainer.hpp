#pragma once

#include "samples_world.hpp"

#include <sstream>

namespace hibiscus::policy {

/// The processes of the nodes: they may crash, stand still and wake.
class node_processes {
public:
    explicit node_processes(surroundings& around)
        : around_(around), rows_(world_nodes) {
        for (int i = 0; i < world_nodes; ++i) {
            start(i);
        }
    }

    /// Returns the node, or null while its process is down.
    sample_node* node(int number) { return rows_[index(number)].node.get(); }

    /// Ends a process; it comes back after `ms`.
    void crash(int number, base::millis ms) {
        auto& row = rows_[index(number)];
        if (row.node != nullptr) {
            row.node.reset();
            row.held.clear();
            row.paused = false;
            ++row.incarnation;
            around_.time.after(ms,
                               [this, number] { start(number % world_nodes); });
        }
    }

    /// Lets a process stand still for `ms`.
    void pause(int number, base::millis ms) {
        auto& row = rows_[index(number)];
        if (row.node == nullptr || row.paused) {
            return;
        }
        row.paused = true;
        around_.time.after(
            ms, [this, number, i = row.incarnation] { resume(number, i); });
    }

    /// Lets an event happen in a process after `delay`, unless it ends before.
    void at_node(int number, base::millis delay, std::function<void()> event) {
        const auto incarnation = rows_[index(number)].incarnation;
        around_.time.after(
            delay, [this, number, incarnation, e = std::move(event)] {
                auto& row = rows_[index(number)];
                if (row.node == nullptr || row.incarnation != incarnation) {
                    return;
                }
                if (row.paused) {
                    row.held.push_back(e);
                } else {
                    e();
                }
            });
    }

private:
    struct process_row {
        std::unique_ptr<sample_node> node;
        std::uint64_t incarnation = 0;
        bool paused = false;
        std::vector<std::function<void()>> held;
    };

    static std::size_t index(int number) {
        return static_cast<std::size_t>(number % world_nodes);
    }

    void start(int number) {
        auto& row = rows_[index(number)];
        const auto incarnation = ++row.incarnation;
        row.node = std::make_unique<sample_node>(
            around_, number, incarnation,
            [this, number](const base::node_id& to,
                           const wire::peer_message& message) {
                send(number, to, message);
            },
            [this, number, incarnation](base::millis delay,
                                        std::function<void()> event) {
                // The answer to a question of the process before.
                if (rows_[index(number)].incarnation == incarnation) {
                    at_node(number, delay, std::move(event));
                }
            });
        tick(number);
    }

    void tick(int number) {
        node(number)->tick();
        at_node(number, tick_ms, [this, number] { tick(number); });
    }

    void resume(int number, std::uint64_t incarnation) {
        auto& row = rows_[index(number)];
        if (row.node == nullptr || row.incarnation != incarnation) {
            return;
        }
        // What has come meanwhile lies in several sockets.
        row.paused = false;
        auto held = std::move(row.held);
        row.held.clear();
        std::shuffle(held.begin(), held.end(), around_.random);
        for (const auto& event : held) {
            event();
        }
    }

    void send(int from, const base::node_id& to,
              const wire::peer_message& message) {
        const int number = to.str().back() - '0';
        const auto bytes = wire::to_cbor(message);
        const std::string name = "n" + std::to_string(from);
        for (int copies = around_.repeats() ? 2 : 1; copies > 0; --copies) {
            const auto delay = around_.delay();
            if (!delay || around_.cut.count({name, to.str()}) > 0) {
                continue;
            }
            at_node(number, *delay, [this, number, bytes] {
                const auto read = wire::from_cbor(bytes);
                node(number)->receive(*base::value_if(read));
            });
        }
    }

    surroundings& around_;
    std::vector<process_row> rows_;
};

/// A trainer that works through its steps and judges each sample it takes.
class model_trainer {
public:
    static constexpr wire::step_number steps = 5;
    static constexpr std::uint32_t samples = 12;

    model_trainer(surroundings& around, node_processes& nodes, int number)
        : around_(around), nodes_(nodes), name_("t" + std::to_string(number)) {
        publish();
        work();
    }

    /// Returns what went wrong, or "".
    const std::string& fault() const { return fault_; }

    /// Returns true if all steps are whole.
    bool finished() const { return step_ > steps; }

    /// Returns what it waits for.
    std::string state() const {
        std::ostringstream out;
        out << name_.str() << " step " << step_ << " has " << received_.size()
            << " of " << samples << ", version " << version_;
        return out.str();
    }

    /// Puts new weights into the store and tells an entry, until it is
    /// acknowledged.
    void publish() {
        ++version_;
        tell();
    }

    /// Loses what it has of the present step, as a restarted process would.
    void restart() {
        received_.clear();
        ++pull_;
        work();
    }

private:
    int any_node() { return static_cast<int>(around_.random() % world_nodes); }

    void tell() {
        if (acknowledged_ >= version_) {
            return;
        }
        const int entry = any_node();
        const auto delay = around_.delay();
        if (delay) {
            nodes_.at_node(entry, *delay, [this, entry, v = version_] {
                nodes_.node(entry)->publish({name_, v}, [this, v] {
                    acknowledged_ = std::max(acknowledged_, v);
                });
            });
        }
        around_.time.after(pull_wait + 4 * call_margin, [this] { tell(); });
    }

    /// Pulls once, and again when the answer has come or its time is over.
    void work() {
        if (finished()) {
            return;
        }
        const auto number = ++pull_;
        wire::pull_step message{name_, step_, {}};
        message.request.pull = number;
        message.request.version = version_;
        message.request.wait_ms = pull_wait;
        for (const auto slot : received_) {
            message.request.received.push_back({slot, slot});
        }
        const int entry = any_node();
        const auto delay = around_.delay();
        if (delay) {
            nodes_.at_node(entry, *delay, [this, entry, message] {
                nodes_.node(entry)->pull(message, [this, message](auto answer) {
                    leave(message.request, std::move(answer));
                });
            });
        }
        around_.time.after(pull_wait + 2 * call_margin, [this, number] {
            if (number == pull_) {
                work();
            }
        });
    }

    /// An answer leaves its entry.
    void leave(const wire::pull_request& request, wire::pull_answer answer) {
        const auto fresh = std::max(request.version, acknowledged_);
        for (const auto& s : answer.samples) {
            for (const auto& c : s.chunks) {
                if (c.version < fresh - staleness_bound) {
                    fail("a stale sample left an entry", s);
                }
            }
        }
        if (const auto delay = around_.delay()) {
            around_.time.after(*delay, [this, a = std::move(answer)] {
                if (a.pull == pull_) {
                    take(a);
                }
            });
        }
    }

    void take(const wire::pull_answer& answer) {
        if (answer.why == wire::reason::unknown_step) {
            open();
        }
        for (const auto& s : answer.samples) {
            if (!received_.insert(s.slot).second) {
                fail("a slot came twice", s);
            }
            if (!around_.engine(s.engine).produced(s)) {
                fail("no engine produced this text", s);
            }
        }
        if (received_.size() == samples) {
            received_.clear();
            ++step_;
            publish();
        }
        ++pull_;
        const auto pause =
            answer.result == wire::outcome::completed
                ? 0
                : std::max<base::millis>(20, answer.retry_after_ms);
        around_.time.after(pause, [this, p = pull_] {
            if (p == pull_) {
                work();
            }
        });
    }

    void open() {
        const int entry = any_node();
        if (const auto delay = around_.delay()) {
            const wire::open_step message{
                name_,
                step_,
                {version_,
                 {{"a" + name_.str(), samples / 2, 10},
                  {"b" + name_.str(), samples / 2, 10}}}};
            nodes_.at_node(entry, *delay, [this, entry, message] {
                nodes_.node(entry)->open(message);
            });
        }
    }

    void fail(const std::string& what, const wire::sample& s) {
        std::ostringstream out;
        out << what << " at " << around_.time.now() << ": " << name_.str()
            << " step " << step_ << " slot " << s.slot << " attempt "
            << s.attempt << " of " << s.engine.str() << ", version " << version_
            << ", acknowledged " << acknowledged_ << ":";
        for (const auto& c : s.chunks) {
            out << " " << c.text << "@" << c.version;
        }
        if (fault_.empty()) {
            fault_ = out.str();
        }
    }

    surroundings& around_;
    node_processes& nodes_;
    base::trainer_id name_;
    wire::weight_version version_ = 0;
    wire::weight_version acknowledged_ = 0;
    wire::step_number step_ = 1;
    std::int64_t pull_ = 0;
    std::set<wire::slot_index> received_;
    std::string fault_;
};

} // namespace hibiscus::policy
