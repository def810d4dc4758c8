#include "hibiscus/duties/duty_turn.hpp"
#include "hibiscus/duties/usage_reporter.hpp"
#include "support/fuzz.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

namespace hibiscus::duties {

namespace {

constexpr int node_count = 4;
constexpr base::millis lease_ms = 3000;
/// A node acts only if it has read the journal within this time.
constexpr base::millis max_view_age_ms = 1500;

/// A record of the journal: a claim of the lease, or a fixed report.
struct journal_record {
    int holder = -1;
    usage_report report;
};

/// A call that the receiver has not executed yet.
struct pending_call {
    int node = 0;
    fencing_token token = 0;
    usage_report report;
    base::millis executed_at = 0;
};

/// The receiver of the reports. Records the first violation.
class fake_receiver {
public:
    explicit fake_receiver(bool checks_tokens)
        : checks_tokens_(checks_tokens) {}

    duty_result execute(const pending_call& call) {
        if (call.token < highest_token_) {
            if (!checks_tokens_) {
                violation_ = "call with a lower token";
            }
            return duty_result::fenced;
        }
        highest_token_ = call.token;
        const auto user = token_users_.emplace(call.token, call.node);
        if (user.first->second != call.node) {
            violation_ = "two nodes use one token";
        }
        check_turns(call);
        const auto first =
            contents_.emplace(call.report.window, call.report.counts);
        if (first.first->second != call.report.counts) {
            violation_ = "two contents of one window";
        }
        return duty_result::accepted;
    }

    const std::string& violation() const { return violation_; }
    std::size_t windows() const { return contents_.size(); }

private:
    /// Checks that no node acts, then another one, then the first again within
    /// the lease time.
    void check_turns(const pending_call& call) {
        const auto last = last_calls_.find(call.node);
        const bool another_acted =
            last != last_calls_.end() && last_node_ != call.node;
        if (another_acted && call.executed_at - last->second < lease_ms) {
            violation_ = "holders took turns within the lease time";
        }
        last_calls_[call.node] = call.executed_at;
        last_node_ = call.node;
    }

    bool checks_tokens_;
    fencing_token highest_token_ = 0;
    std::map<fencing_token, int> token_users_;
    std::map<window_number, usage_counts> contents_;
    std::map<int, base::millis> last_calls_;
    int last_node_ = -1;
    std::string violation_;
};

/// One node: its view of the journal, and its decisions.
struct simulated_node {
    simulated_node(int n, bool checked, base::millis now)
        : turn(std::to_string(n), lease_ms, checked, now),
          reporter(reporter_times{}) {}

    duty_turn turn;
    usage_reporter reporter;
    std::size_t read_to = 0;
    base::millis read_at = 0;
    bool is_holder = false;
    base::millis frozen_until = 0;
    std::uint64_t incarnation = 0;
};

/// Nodes that claim, freeze, restart, fix and send in virtual time. Calls are
/// executed at once, late or never, and their responses may be lost.
class duty_simulation {
public:
    explicit duty_simulation(bool checked)
        : checked_(checked), receiver_(checked) {
        for (int n = 0; n < node_count; ++n) {
            restart(n);
        }
    }

    void apply(const testing::fuzz_command& c) {
        now_ += 20 + c.b % 400;
        execute_due_calls();
        const int n = c.a % node_count;
        auto& node = *nodes_[static_cast<std::size_t>(n)];
        if (c.kind < 5) {
            node.frozen_until = now_ + c.c * 6;
        } else if (c.kind < 8) {
            restart(n);
        } else if (now_ < node.frozen_until) {
            return;
        } else if (c.kind < 14) {
            claim(n);
        } else {
            tick(n, c.c);
        }
    }

    std::string violation() const { return receiver_.violation(); }
    std::size_t windows() const { return receiver_.windows(); }

private:
    simulated_node& node_at(int n) {
        return *nodes_[static_cast<std::size_t>(n)];
    }

    void restart(int n) {
        nodes_[static_cast<std::size_t>(n)] =
            std::make_unique<simulated_node>(n, checked_, now_);
        node_at(n).incarnation = ++last_incarnation_;
        read(n);
    }

    void read(int n) {
        auto& node = node_at(n);
        for (; node.read_to < journal_.size(); ++node.read_to) {
            const auto& r = journal_[node.read_to];
            if (r.holder < 0) {
                node.reporter.on_fixed(r.report);
                continue;
            }
            node.is_holder =
                r.holder == n && claims_[node.read_to] == node.incarnation;
            node.turn.on_holder_changed(std::to_string(r.holder),
                                        node.is_holder, node.read_to + 1, now_);
            if (node.is_holder) {
                node.reporter.begin_turn();
            }
        }
        node.read_at = now_;
    }

    bool has_read_all(int n) { return node_at(n).read_to == journal_.size(); }

    /// A claim is stored only if the node has read the journal to its end.
    void claim(int n) {
        if (has_read_all(n) && !node_at(n).is_holder) {
            claims_[journal_.size()] = node_at(n).incarnation;
            journal_.push_back({n, {}});
            read(n);
        }
    }

    bool may_act(int n) {
        return node_at(n).is_holder &&
               now_ - node_at(n).read_at < max_view_age_ms;
    }

    /// What a node does at each tick; one time in four its view is not current.
    void tick(int n, int seed) {
        if (seed % 4 != 0) {
            read(n);
        }
        fix(n, seed);
        send(n, seed / 4);
    }

    void fix(int n, int seed) {
        const auto window = node_at(n).reporter.window_to_fix(now_ + epoch_ms);
        if (!may_act(n) || !window || !has_read_all(n)) {
            return;
        }
        journal_.push_back({-1, {*window, {{"one", seed}}, false}});
        read(n);
    }

    void send(int n, int seed) {
        const auto token = node_at(n).turn.token_to_call(now_);
        if (!may_act(n) || !token) {
            return;
        }
        const auto report =
            node_at(n).reporter.report_to_send(now_ + epoch_ms, now_);
        if (!report) {
            return;
        }
        node_at(n).turn.on_called(now_);
        pending_call call{n, *token, *report, now_};
        auto result = duty_result::failed;
        if (seed % 3 == 0) {
            // Executed later, after newer calls; the caller never knows. A
            // receiver that does not check tokens relies on the lease time.
            call.executed_at += seed % (checked_ ? 8000 : 1200);
            late_calls_.push_back(call);
        } else if (seed % 7 != 0) {
            result = receiver_.execute(call);
        }
        if (result == duty_result::fenced) {
            node_at(n).turn.on_fenced(*token);
        }
        node_at(n).reporter.on_sent(report->window, result, now_, 0.5);
    }

    void execute_due_calls() {
        std::stable_sort(late_calls_.begin(), late_calls_.end(),
                         [](const auto& a, const auto& b) {
                             return a.executed_at < b.executed_at;
                         });
        while (!late_calls_.empty() &&
               late_calls_.front().executed_at <= now_) {
            receiver_.execute(late_calls_.front());
            late_calls_.pop_front();
        }
    }

    static constexpr base::millis epoch_ms = 1000000;

    bool checked_;
    fake_receiver receiver_;
    base::millis now_ = 0;
    std::uint64_t last_incarnation_ = 0;
    std::vector<journal_record> journal_;
    /// Incarnation of the claimant by the offset of its claim.
    std::map<std::size_t, std::uint64_t> claims_;
    std::array<std::unique_ptr<simulated_node>, node_count> nodes_;
    std::deque<pending_call> late_calls_;
};

/// Guards against two reports of a window with different counts, and against
/// two holders that act at once.
TEST(duties_fuzz_test, reports_have_one_content_and_holders_do_not_mix) {
    for (const bool checked : {true, false}) {
        std::size_t windows = 0;
        testing::fuzz("duties", 40, [&](const auto& commands) {
            duty_simulation simulation(checked);
            for (const auto& c : commands) {
                simulation.apply(c);
                if (!simulation.violation().empty()) {
                    return simulation.violation();
                }
            }
            windows += simulation.windows();
            return std::string();
        });
        EXPECT_GT(windows, 0U);
        std::cout << "windows: " << windows << "\n";
    }
}

} // namespace

} // namespace hibiscus::duties
