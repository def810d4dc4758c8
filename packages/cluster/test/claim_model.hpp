#pragma once

#include "hibiscus/cluster/claim_coordinator.hpp"

#include "support/fuzz.hpp"

#include <algorithm>
#include <memory>
#include <sstream>

namespace hibiscus::cluster {

/// Several claim coordinators on one log, driven by generated commands. Checks
/// only what callers, the service and the log can observe: a key runs at most
/// once, a request whose every attempt received `not_run` does not run, a
/// completed response carries the body of the one run, and no caller waits past
/// its deadline.
class claim_model {
public:
    claim_model() {
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
            restart_node(n);
            assign(n, static_cast<int>(n));
        }
    }

    /// Executes a command. Returns the violation, or "".
    std::string execute(const testing::fuzz_command& command) {
        const auto n = static_cast<std::size_t>(command.a) % nodes_.size();
        const auto shard = static_cast<shard_number>(command.b) % shards;
        if (command.kind < 20) {
            submit(n, command);
        } else if (command.kind < 34) {
            tick(n);
        } else if (command.kind < 46) {
            finish_append(command);
        } else if (command.kind < 60) {
            deliver_records(n, shard, command.c % 12 + 1);
        } else if (command.kind < 72) {
            finish_run(command);
        } else if (command.kind < 75) {
            now_ += command.c % 10 == 0 ? 20LL * command.c : command.c % 300;
        } else if (command.kind < 78) {
            assign(n, command.b);
        } else if (command.kind < 81) {
            nodes_[n].paused = !nodes_[n].paused;
        } else if (command.kind < 82) {
            restart_node(n);
        } else if (command.kind < 84) {
            outage_ = !outage_;
        } else if (command.kind < 86) {
            trim_log(shard, command.c % 14 + 1);
        } else if (command.kind < 87) {
            nodes_[n].coordinator->set_claim_retention(
                command.c % 2 == 0 ? 5000 : 20000);
        } else {
            run_quiet_period(n, command);
        }
        return violation_;
    }

    /// Counts of events in a fuzz run, which show that the run exercised the
    /// claims.
    struct coverage {
        std::size_t attempts = 0;
        std::size_t runs = 0;
        std::size_t completed = 0;
        std::size_t unknown = 0;
        std::size_t not_run = 0;
    };

    const coverage& coverage_so_far() const { return coverage_; }

private:
    static constexpr shard_number shards = 2;
    static constexpr base::millis wall_start = 1000000000;
    static constexpr std::size_t recent_keys = 4;

    /// One attempt of a caller at one home node.
    struct attempt {
        std::string key;
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        base::millis deadline = 0;
        bool responded = false;
        bool not_run = false;
        /// True if the key ran at `node` while the attempt was pending there.
        bool ran = false;
    };

    struct node_state {
        std::unique_ptr<claim_coordinator> coordinator;
        std::uint64_t incarnation = 0;
        bool paused = false;
        std::set<shard_number> assigned;
    };

    /// An append in flight between a coordinator and the log.
    struct pending_append {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        append_claims effect;
        /// False for a duplicate whose coordinator has already received
        /// `unknown`.
        bool awaits_response = true;
    };

    /// A dispatched request in flight between a coordinator and the service.
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

    void record_violation(const std::string& violation) {
        if (violation_.empty()) {
            violation_ = violation;
        }
    }

    void restart_node(std::size_t n) {
        auto& node = nodes_[n];
        node.incarnation = ++last_incarnation_;
        claim_options options;
        options.claim_retention = 10000;
        options.min_records_until_snapshot = 6;
        options.max_snapshot_age = 4000;
        node.coordinator = std::make_unique<claim_coordinator>(
            base::node_id("n" + std::to_string(n)), node.incarnation, options);
        node.paused = false;
        node.assigned.clear();
    }

    /// Returns the node that wrote the last epoch record of a shard, or
    /// `fallback` if there is none.
    std::size_t find_epoch_holder(shard_number shard,
                                  std::size_t fallback) const {
        const auto& records = logs_[shard].records;
        for (auto it = records.rbegin(); it != records.rend(); ++it) {
            if (it->starts_epoch) {
                return static_cast<std::size_t>(it->node.str()[1] - '0');
            }
        }
        return fallback;
    }

    void submit(std::size_t n, const testing::fuzz_command& command) {
        if (keys_.empty() || command.b % 6 == 0) {
            keys_.emplace_back("k" + std::to_string(keys_.size()),
                               wall() + command.b % 500 - 250);
        }
        const auto recent_count = std::min(keys_.size(), recent_keys);
        const auto candidates =
            command.c % 10 == 0 ? keys_.size() : recent_count;
        const auto& [key, created_ms] =
            keys_[keys_.size() - 1 -
                  static_cast<std::size_t>(command.c) % candidates];
        wire::service_request request;
        request.id = base::request_id(key);
        request.idempotent = false;
        request.deadline_ms = 50 + command.a % 7 * 400;
        request.created_ms = created_ms;
        // Most callers reach the home node, as entry nodes do; the others reach
        // an arbitrary node.
        n = command.a % 10 < 7
                ? find_epoch_holder(shard_of(request.id, shards), n)
                : n;
        if (nodes_[n].paused) {
            return;
        }
        const auto waiter = attempts_.size();
        ++coverage_.attempts;
        attempts_.push_back({key, n, nodes_[n].incarnation,
                             now_ + request.deadline_ms, false, false, false});
        nodes_[n].coordinator->submit(now_, wall(), waiter,
                                      shard_of(request.id, shards), request);
        collect_effects(n);
    }

    void tick(std::size_t n) {
        now_ += 30;
        if (nodes_[n].paused) {
            return;
        }
        nodes_[n].coordinator->tick(now_, wall());
        collect_effects(n);
        constexpr base::millis grace = 250;
        for (const auto& attempt : attempts_) {
            if (attempt.node == n &&
                attempt.incarnation == nodes_[n].incarnation &&
                !attempt.responded && now_ >= attempt.deadline + grace) {
                record_violation("the caller of " + attempt.key +
                                 " is waiting past its deadline");
            }
        }
    }

    void collect_effects(std::size_t n) {
        const auto incarnation = nodes_[n].incarnation;
        for (auto& effect : nodes_[n].coordinator->take_effects()) {
            if (auto* append = std::get_if<append_claims>(&effect)) {
                appends_.push_back({n, incarnation, std::move(*append), true});
            } else if (auto* run = std::get_if<dispatch_request>(&effect)) {
                runs_.push_back({n, incarnation, run->request.id.str()});
            } else {
                check_response(std::get<send_response>(effect));
            }
        }
    }

    void check_response(const send_response& effect) {
        auto& attempt = attempts_[effect.waiter];
        if (attempt.responded) {
            record_violation(attempt.key + " received two responses");
        }
        attempt.responded = true;
        const auto result = effect.response.result;
        coverage_.completed += result == wire::outcome::completed ? 1U : 0U;
        coverage_.unknown += result == wire::outcome::unknown ? 1U : 0U;
        coverage_.not_run += result == wire::outcome::not_run ? 1U : 0U;
        attempt.not_run = effect.response.result == wire::outcome::not_run;
        if (attempt.not_run && attempt.ran) {
            record_violation(attempt.key +
                             " ran, but its caller received not_run");
        }
        const auto body = response_bodies_.find(attempt.key);
        if (effect.response.result == wire::outcome::completed &&
            (body == response_bodies_.end() ||
             body->second != effect.response.body)) {
            record_violation(attempt.key +
                             " completed with a body that no run produced");
        }
    }

    /// Completes an append according to `fault_choice`: 0 to 5 append the
    /// record, 6 and 7 append it and report `unknown`, 8 refuses it, and 9
    /// reports `unknown` and appends it late or never.
    void finish_append(const testing::fuzz_command& command) {
        if (appends_.empty()) {
            return;
        }
        const auto i = static_cast<std::size_t>(command.a) % appends_.size();
        auto append = appends_[i];
        const int fault_choice = command.b % 10;
        const bool is_appended = !outage_ && fault_choice < 8;
        if (!append.awaits_response) {
            // A duplicate that was in flight all the time is appended late, or
            // never.
            appends_.erase(appends_.begin() + static_cast<std::ptrdiff_t>(i));
            if (is_appended) {
                append_to_log(append);
            }
            return;
        }
        if (nodes_[append.node].paused) {
            return;
        }
        auto outcome = append_outcome::appended;
        if (is_appended) {
            append_to_log(append);
            outcome = fault_choice < 6 ? append_outcome::appended
                                       : append_outcome::unknown;
        } else {
            outcome = fault_choice == 9 ? append_outcome::unknown
                                        : append_outcome::refused;
        }
        if (!is_appended && outcome == append_outcome::unknown) {
            appends_[i].awaits_response = false;
        } else {
            appends_.erase(appends_.begin() + static_cast<std::ptrdiff_t>(i));
        }
        if (nodes_[append.node].incarnation == append.incarnation) {
            nodes_[append.node].coordinator->on_append_result(
                append.effect.shard, append.effect.id, outcome,
                now_ + command.c % 200);
            collect_effects(append.node);
        }
    }

    void append_to_log(const pending_append& append) {
        logs_[append.effect.shard].records.push_back(append.effect.record);
    }

    void deliver_records(std::size_t n, shard_number shard, int max_records) {
        auto& node = nodes_[n];
        if (node.paused || outage_) {
            return;
        }
        const auto& log = logs_[shard];
        const auto end = static_cast<wire::log_offset>(log.records.size());
        for (const auto& [number, from] : node.coordinator->shards_to_read()) {
            if (number != shard) {
                continue;
            }
            node.coordinator->on_stream_bounds(now_, wall(), shard, log.first,
                                               end);
            for (auto it = std::max(from, log.first);
                 it < end && max_records > 0; ++it, --max_records) {
                node.coordinator->apply_record(
                    now_, shard, it, log.records[static_cast<std::size_t>(it)]);
            }
        }
        collect_effects(n);
    }

    /// Completes a dispatched request according to `fault_choice`: 0 to 2
    /// complete it, 3 reports `not_run`, and 4 reports `unknown` whether it ran
    /// or not.
    void finish_run(const testing::fuzz_command& command) {
        if (runs_.empty()) {
            return;
        }
        const auto i = static_cast<std::size_t>(command.a) % runs_.size();
        const auto run = runs_[i];
        const auto& node = nodes_[run.node];
        const bool is_same_process = node.incarnation == run.incarnation;
        if (is_same_process && node.paused) {
            return;
        }
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(i));
        const int fault_choice = command.b % 5;
        wire::service_response response;
        response.id = base::request_id(run.key);
        response.result = fault_choice < 3   ? wire::outcome::completed
                          : fault_choice < 4 ? wire::outcome::not_run
                                             : wire::outcome::unknown;
        if (fault_choice < 3 || (fault_choice == 4 && command.c % 2 == 0)) {
            response.body = record_run(run);
        }
        if (is_same_process) {
            node.coordinator->on_service_response(shard_of(response.id, shards),
                                                  response);
            collect_effects(run.node);
        }
    }

    std::string record_run(const pending_run& run) {
        auto body = run.key + " by " + std::to_string(run.incarnation);
        if (!response_bodies_.emplace(run.key, body).second) {
            record_violation(run.key + " ran twice");
        }
        ++coverage_.runs;
        bool has_open_attempt = false;
        for (auto& attempt : attempts_) {
            if (attempt.key == run.key) {
                has_open_attempt = has_open_attempt || !attempt.not_run;
                attempt.ran = attempt.ran ||
                              (!attempt.responded && attempt.node == run.node &&
                               attempt.incarnation == run.incarnation);
            }
        }
        if (!has_open_attempt) {
            record_violation(run.key +
                             " ran although every attempt received not_run");
        }
        return body;
    }

    void assign(std::size_t n, int shard_mask) {
        if (nodes_[n].paused) {
            return;
        }
        std::set<shard_number> assigned_shards;
        for (shard_number shard = 0; shard < shards; ++shard) {
            if ((shard_mask >> shard) % 2 != 0) {
                assigned_shards.insert(shard);
            }
        }
        nodes_[n].assigned = assigned_shards;
        nodes_[n].coordinator->assign_shards(assigned_shards);
        collect_effects(n);
    }

    void trim_log(shard_number shard, int max_records) {
        auto& log = logs_[shard];
        log.first = std::max(log.first,
                             static_cast<wire::log_offset>(log.records.size()) -
                                 max_records);
    }

    /// Lets a node run without faults for some time, so that it can acquire its
    /// shards and serve requests.
    void run_quiet_period(std::size_t n, const testing::fuzz_command& command) {
        nodes_[n].paused = false;
        outage_ = false;
        if (nodes_[n].assigned.empty()) {
            assign(n, command.b);
        }
        for (int i = 0; i <= command.c % 5; ++i) {
            now_ += 15;
            tick(n);
            for (std::size_t count = appends_.size(); count > 0; --count) {
                if (appends_[count - 1].node == n &&
                    appends_[count - 1].awaits_response) {
                    finish_append({0, static_cast<int>(count - 1), 0, 0});
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
    std::string violation_;
    coverage coverage_;
};

} // namespace hibiscus::cluster
