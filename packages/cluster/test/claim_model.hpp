#pragma once

#include "hibiscus/cluster/claim_coordinator.hpp"

#include "support/fuzz.hpp"

#include <algorithm>
#include <memory>
#include <sstream>

namespace hibiscus::cluster {

/// Several claim homes before one log, driven by generated commands. What is
/// judged is only what callers, the service and the log saw: a key runs at most
/// once, no attempt that was answered `not_run` runs, a completed answer
/// carries the body of the one run, and no caller waits past its deadline.
class claim_model {
public:
    claim_model() {
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
            restart_node(n);
            assign(n, static_cast<int>(n));
        }
    }

    /// Carries out a command. Returns what is wrong, or "".
    std::string execute(const testing::fuzz_command& c) {
        const auto n = static_cast<std::size_t>(c.a) % nodes_.size();
        const auto shard = static_cast<shard_number>(c.b) % shards;
        if (c.kind < 20) {
            submit(n, c);
        } else if (c.kind < 34) {
            tick(n);
        } else if (c.kind < 46) {
            finish_append(c);
        } else if (c.kind < 60) {
            deliver_records(n, shard, c.c % 12 + 1);
        } else if (c.kind < 72) {
            finish_run(c);
        } else if (c.kind < 75) {
            now_ += c.c % 10 == 0 ? 20LL * c.c : c.c % 300;
        } else if (c.kind < 78) {
            assign(n, c.b);
        } else if (c.kind < 81) {
            nodes_[n].paused = !nodes_[n].paused;
        } else if (c.kind < 82) {
            restart_node(n);
        } else if (c.kind < 84) {
            outage_ = !outage_;
        } else if (c.kind < 86) {
            trim_log(shard, c.c % 14 + 1);
        } else if (c.kind < 87) {
            nodes_[n].home->set_claim_retention(c.c % 2 == 0 ? 5000 : 20000);
        } else {
            run_quiet_period(n, c);
        }
        return failure_;
    }

    /// What a run reached; a run that reaches nothing proves nothing.
    struct coverage {
        std::size_t attempts = 0;
        std::size_t runs = 0;
        std::size_t completed = 0;
        std::size_t unknown = 0;
        std::size_t not_run = 0;
    };

    /// Returns what was reached so far.
    const coverage& coverage_so_far() const { return coverage_; }

private:
    static constexpr shard_number shards = 2;
    static constexpr base::millis wall_start = 1000000000;
    static constexpr std::size_t recent_keys = 4;

    /// One try of a caller at one home.
    struct attempt {
        std::string key;
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        base::millis deadline = 0;
        bool answered = false;
        bool not_run = false;
        /// True if the key ran while the attempt waited at the home that ran
        /// it.
        bool ran = false;
    };

    struct node_state {
        std::unique_ptr<claim_coordinator> home;
        std::uint64_t incarnation = 0;
        bool paused = false;
        std::set<shard_number> assigned;
    };

    /// An append between the home and the log.
    struct pending_append {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        append_claims effect;
        /// False for a copy whose home has given up on an answer.
        bool awaits_response = true;
    };

    /// A dispatch between the home and the service.
    struct pending_run {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        std::string key;
    };

    struct shard_log {
        wire::log_offset first = 0;
        std::vector<wire::claim_record> records;
    };

    base::millis wall() const { return wall_start + now_; }

    void record_violation(const std::string& what) {
        if (failure_.empty()) {
            failure_ = what;
        }
    }

    void restart_node(std::size_t n) {
        auto& node = nodes_[n];
        node.incarnation = ++last_incarnation_;
        claim_options times;
        times.claim_retention = 10000;
        times.snapshot_interval_records = 6;
        times.max_snapshot_age = 4000;
        node.home = std::make_unique<claim_coordinator>(
            base::node_id("n" + std::to_string(n)), node.incarnation, times);
        node.paused = false;
        node.assigned.clear();
    }

    /// Returns the node that wrote the last epoch of a shard, or `otherwise`.
    std::size_t find_epoch_holder(shard_number shard,
                                  std::size_t otherwise) const {
        const auto& records = logs_[shard].records;
        for (auto at = records.rbegin(); at != records.rend(); ++at) {
            if (at->starts_epoch) {
                return static_cast<std::size_t>(at->node.str()[1] - '0');
            }
        }
        return otherwise;
    }

    void submit(std::size_t n, const testing::fuzz_command& c) {
        if (keys_.empty() || c.b % 6 == 0) {
            keys_.emplace_back("k" + std::to_string(keys_.size()),
                               wall() + c.b % 500 - 250);
        }
        const auto recent = std::min(keys_.size(), recent_keys);
        const auto old = c.c % 10 == 0 ? keys_.size() : recent;
        const auto& [key, created] =
            keys_[keys_.size() - 1 - static_cast<std::size_t>(c.c) % old];
        wire::service_request r;
        r.id = base::request_id(key);
        r.idempotent = false;
        r.deadline_ms = 50 + c.a % 7 * 400;
        r.created_ms = created;
        // Most callers find the home, as entries do; the rest go astray.
        n = c.a % 10 < 7 ? find_epoch_holder(shard_of(r.id, shards), n) : n;
        if (nodes_[n].paused) {
            return;
        }
        const auto waiter = attempts_.size();
        ++coverage_.attempts;
        attempts_.push_back({key, n, nodes_[n].incarnation,
                             now_ + r.deadline_ms, false, false, false});
        nodes_[n].home->submit(now_, wall(), waiter, shard_of(r.id, shards), r);
        collect_effects(n);
    }

    void tick(std::size_t n) {
        now_ += 30;
        if (nodes_[n].paused) {
            return;
        }
        nodes_[n].home->tick(now_, wall());
        collect_effects(n);
        constexpr base::millis grace = 250;
        for (const auto& a : attempts_) {
            if (a.node == n && a.incarnation == nodes_[n].incarnation &&
                !a.answered && now_ >= a.deadline + grace) {
                record_violation("a caller of " + a.key +
                                 " waits past its deadline");
            }
        }
    }

    void collect_effects(std::size_t n) {
        const auto incarnation = nodes_[n].incarnation;
        for (auto& effect : nodes_[n].home->take_effects()) {
            if (auto* append = std::get_if<append_claims>(&effect)) {
                appends_.push_back({n, incarnation, std::move(*append), true});
            } else if (auto* run = std::get_if<dispatch_request>(&effect)) {
                runs_.push_back({n, incarnation, run->request.id.str()});
            } else {
                check_response(std::get<send_response>(effect));
            }
        }
    }

    void check_response(const send_response& answer) {
        auto& a = attempts_[answer.waiter];
        if (a.answered) {
            record_violation(a.key + " was answered twice");
        }
        a.answered = true;
        const auto result = answer.response.result;
        coverage_.completed += result == wire::outcome::completed ? 1U : 0U;
        coverage_.unknown += result == wire::outcome::unknown ? 1U : 0U;
        coverage_.not_run += result == wire::outcome::not_run ? 1U : 0U;
        a.not_run = answer.response.result == wire::outcome::not_run;
        if (a.not_run && a.ran) {
            record_violation(a.key + " ran, and its caller was told not_run");
        }
        const auto body = response_bodies_.find(a.key);
        if (answer.response.result == wire::outcome::completed &&
            (body == response_bodies_.end() ||
             body->second != answer.response.body)) {
            record_violation(a.key + " was answered with a body of no run");
        }
    }

    /// Lets the log take, lose, repeat or refuse an append.
    void finish_append(const testing::fuzz_command& c) {
        if (appends_.empty()) {
            return;
        }
        const auto i = static_cast<std::size_t>(c.a) % appends_.size();
        auto sent = appends_[i];
        const int how = c.b % 10;
        const bool lands = !outage_ && how < 8;
        if (!sent.awaits_response) {
            // A copy that was under way all the time lands late, or never.
            appends_.erase(appends_.begin() + static_cast<std::ptrdiff_t>(i));
            if (lands) {
                append_to_stream(sent);
            }
            return;
        }
        if (nodes_[sent.node].paused) {
            return;
        }
        auto outcome = append_outcome::appended;
        if (lands) {
            append_to_stream(sent);
            outcome =
                how < 6 ? append_outcome::appended : append_outcome::unknown;
        } else {
            outcome =
                how == 9 ? append_outcome::unknown : append_outcome::refused;
        }
        if (!lands && outcome == append_outcome::unknown) {
            appends_[i].awaits_response = false;
        } else {
            appends_.erase(appends_.begin() + static_cast<std::ptrdiff_t>(i));
        }
        if (nodes_[sent.node].incarnation == sent.incarnation) {
            nodes_[sent.node].home->on_append_result(
                sent.effect.shard, sent.effect.id, outcome, now_ + c.c % 200);
            collect_effects(sent.node);
        }
    }

    void append_to_stream(const pending_append& sent) {
        logs_[sent.effect.shard].records.push_back(sent.effect.record);
    }

    void deliver_records(std::size_t n, shard_number shard, int most) {
        auto& node = nodes_[n];
        if (node.paused || outage_) {
            return;
        }
        const auto& s = logs_[shard];
        const auto end = static_cast<wire::log_offset>(s.records.size());
        for (const auto& [which, from] : node.home->shards_to_read()) {
            if (which != shard) {
                continue;
            }
            node.home->on_stream_bounds(now_, wall(), shard, s.first, end);
            for (auto at = std::max(from, s.first); at < end && most > 0;
                 ++at, --most) {
                node.home->apply_record(
                    now_, shard, at, s.records[static_cast<std::size_t>(at)]);
            }
        }
        collect_effects(n);
    }

    /// Lets the service run a request or not, and answer or not.
    void finish_run(const testing::fuzz_command& c) {
        if (runs_.empty()) {
            return;
        }
        const auto i = static_cast<std::size_t>(c.a) % runs_.size();
        const auto run = runs_[i];
        const auto& node = nodes_[run.node];
        const bool alive = node.incarnation == run.incarnation;
        if (alive && node.paused) {
            return;
        }
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(i));
        const int how = c.b % 5;
        wire::service_response answer;
        answer.id = base::request_id(run.key);
        answer.result = how < 3   ? wire::outcome::completed
                        : how < 4 ? wire::outcome::not_run
                                  : wire::outcome::unknown;
        if (how < 3 || (how == 4 && c.c % 2 == 0)) {
            answer.body = record_run(run);
        }
        if (alive) {
            node.home->on_service_response(shard_of(answer.id, shards), answer);
            collect_effects(run.node);
        }
    }

    std::string record_run(const pending_run& run) {
        auto body = run.key + " by " + std::to_string(run.incarnation);
        if (!response_bodies_.emplace(run.key, body).second) {
            record_violation(run.key + " ran twice");
        }
        ++coverage_.runs;
        bool wanted = false;
        for (auto& a : attempts_) {
            if (a.key == run.key) {
                wanted = wanted || !a.not_run;
                a.ran = a.ran || (!a.answered && a.node == run.node &&
                                  a.incarnation == run.incarnation);
            }
        }
        if (!wanted) {
            record_violation(run.key + " ran after not_run, without a retry");
        }
        return body;
    }

    void assign(std::size_t n, int which) {
        if (nodes_[n].paused) {
            return;
        }
        std::set<shard_number> ours;
        for (shard_number s = 0; s < shards; ++s) {
            if ((which >> s) % 2 != 0) {
                ours.insert(s);
            }
        }
        nodes_[n].assigned = ours;
        nodes_[n].home->assign_shards(ours);
        collect_effects(n);
    }

    void trim_log(shard_number shard, int keep) {
        auto& s = logs_[shard];
        s.first = std::max(
            s.first, static_cast<wire::log_offset>(s.records.size()) - keep);
    }

    /// Gives a node some quiet time in which it can take its shards and serve.
    void run_quiet_period(std::size_t n, const testing::fuzz_command& c) {
        nodes_[n].paused = false;
        outage_ = false;
        if (nodes_[n].assigned.empty()) {
            assign(n, c.b);
        }
        for (int i = 0; i <= c.c % 5; ++i) {
            now_ += 15;
            tick(n);
            for (std::size_t at = appends_.size(); at > 0; --at) {
                if (appends_[at - 1].node == n &&
                    appends_[at - 1].awaits_response) {
                    finish_append({0, static_cast<int>(at - 1), 0, 0});
                }
            }
            deliver_records(n, 0, 1000);
            deliver_records(n, 1, 1000);
        }
    }

    std::array<node_state, 3> nodes_;
    std::array<shard_log, shards> logs_;
    std::vector<std::pair<std::string, base::millis>> keys_;
    std::vector<attempt> attempts_;
    std::vector<pending_append> appends_;
    std::vector<pending_run> runs_;
    std::map<std::string, std::string> response_bodies_;
    std::uint64_t last_incarnation_ = 0;
    base::millis now_ = 0;
    bool outage_ = false;
    std::string failure_;
    coverage coverage_;
};

} // namespace hibiscus::cluster
