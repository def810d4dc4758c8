#include "entry/entry_harness.hpp"
#include "entry/keep_alive_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

namespace hibiscus::testing {

namespace {

/// The state of a job as its trainer knows it.
struct soak_job {
    std::string id;
    std::string body;
    bool accepted = false;
    /// Whether a submission had an unknown outcome, so that the job may run
    /// although it was not accepted.
    bool may_have_run = false;
    int attempts = 0;
    /// The results by position.
    std::map<int, std::string> results;
    std::set<std::string> result_ids;
};

/// Runs one seed: injects overlapping faults while trainers submit and read
/// jobs at random nodes and callers send lookups. Checks only what trainers and
/// callers can observe.
class soak_run : private entry_harness {
public:
    explicit soak_run(unsigned seed) : random_(seed) {}

    /// Returns a description of the last violation, or "".
    std::string run(int steps) {
        publish_configuration();
        for (const char* name : {"n1", "n2", "n3"}) {
            add_proxy(name);
            start_node(name, proxies_.at(name).listen_address);
        }
        for (const char* name : {"n1", "n2", "n3"}) {
            if (!wait_until_ready(name)) {
                return std::string(name) + " did not become ready";
            }
            add_callers(name);
        }
        for (int step = 0; step < steps && violation_.empty(); ++step) {
            inject_fault();
            run_workload();
            run_due_actions(false);
        }
        run_due_actions(true);
        check_jobs();
        stop_callers_and_check();
        return violation_;
    }

private:
    struct proxy {
        std::unique_ptr<process> daemon;
        base::endpoint control_address;
        base::endpoint listen_address;
    };
    struct scheduled_action {
        base::millis due_at = 0;
        std::function<void()> action;
    };

    int random_below(int limit) {
        return static_cast<int>(random_() % static_cast<unsigned>(limit));
    }

    std::string random_node() {
        return "n" + std::to_string(1 + random_below(3));
    }

    void add_proxy(const std::string& name) {
        auto& added = proxies_[name];
        added.control_address = {"127.0.0.1",
                                 reserved_ports_.reserve("127.0.0.1")};
        added.listen_address = {"127.0.0.1",
                                reserved_ports_.reserve("127.0.0.1")};
        added.daemon = std::make_unique<process>(
            std::vector<std::string>{
                HIBISCUS_FAULT_PROXY,
                "--address=" + to_string(added.control_address),
                "--listen=" + to_string(added.listen_address),
                "--target=" + to_string(store_.address())},
            work_dir_ + "/proxy-" + name + ".log");
        ports_["proxy-" + name] = {added.control_address.port};
        run_until([&] {
            return call("proxy-" + name, "GET", "/v1/proxy").status == 200;
        });
    }

    void control_proxy(const std::string& name, const std::string& path,
                       const json& body = json::object()) {
        call("proxy-" + name, "POST", path, {}, body.dump());
    }

    void schedule(base::millis delay_ms, std::function<void()> action) {
        scheduled_actions_.push_back(
            {clock_.now() + delay_ms, std::move(action)});
    }

    /// Runs the scheduled actions that are due, or all of them.
    void run_due_actions(bool include_future) {
        auto actions = std::exchange(scheduled_actions_, {});
        for (auto& scheduled : actions) {
            if (include_future || clock_.now() >= scheduled.due_at) {
                scheduled.action();
            } else {
                scheduled_actions_.push_back(std::move(scheduled));
            }
        }
    }

    /// Restarts a node that has exited. If the node is still stopping, checks
    /// again later.
    void restart_if_exited(const std::string& name) {
        if (!nodes_.at(name)->is_running()) {
            ready_nodes_.erase(name);
            disrupted_nodes_.erase(name);
            stopping_nodes_.erase(name);
            start_node(name, proxies_.at(name).listen_address);
        } else if (stopping_nodes_.count(name) != 0) {
            schedule(exit_poll_interval_ms,
                     [this, name] { restart_if_exited(name); });
        }
    }

    void stop(const std::string& name) {
        stopping_nodes_.insert(name);
        nodes_.at(name)->signal(SIGTERM);
    }

    /// Starts callers that send lookups one after another over keep-alive
    /// connections to a node.
    void add_callers(const std::string& name) {
        constexpr int callers_per_node = 3;
        for (int n = 0; n < callers_per_node; ++n) {
            callers_.push_back(std::make_unique<keep_alive_client>(
                io_, base::endpoint{"127.0.0.1", ports_.at(name).front()},
                [this] { return make_lookup(); },
                [this, name](const auto& request, const auto& response) {
                    on_lookup_done(name, request, response);
                }));
        }
    }

    client_request make_lookup() {
        constexpr int max_pause_ms = 40;
        constexpr int max_body_bytes = 100000;
        client_request request;
        request.id = "k" + std::to_string(++lookup_count_);
        request.target = "/look/x";
        request.fields = {{"Host", "h"}, {"Deadline-Ms", "1500"}};
        request.body.assign(
            static_cast<std::size_t>(random_below(max_body_bytes)), 'x');
        request.delay_ms = random_below(max_pause_ms);
        return request;
    }

    void on_lookup_done(const std::string& name, const client_request& request,
                        const client_response& response) {
        if (response.status == 0) {
            if (disrupted_nodes_.count(name) == 0) {
                unanswered_ids_.push_back(request.id);
            }
            return;
        }
        ready_nodes_.insert(name);
        check_lookup(request.id, response.status, response.body);
    }

    void check_lookup(const std::string& id, int status,
                      const std::string& body) {
        if (status == 200 && body != "answer to " + id) {
            violation_ = id + " got " + body;
        }
        if (status == 404) {
            violation_ = id + " got status 404";
        }
    }

    /// Stops the callers and checks that each lookup that a node forwarded got
    /// a response, unless the node was killed or suspended.
    void stop_callers_and_check() {
        for (const auto& caller : callers_) {
            caller->stop();
        }
        run_until([&] {
            return std::all_of(
                callers_.begin(), callers_.end(),
                [](const auto& caller) { return caller->is_stopped(); });
        });
        for (const auto& id : unanswered_ids_) {
            if (lookup_server_.executed_ids().count(id) != 0) {
                violation_ = id + " was forwarded but got no response";
            }
        }
    }

    void reload(const std::string& name) {
        if (ready_nodes_.count(name) != 0) {
            nodes_.at(name)->signal(SIGHUP);
        }
    }

    /// Injects a random fault and schedules its end.
    void inject_fault() {
        const auto name = random_node();
        const int duration_ms = 200 + random_below(2000);
        switch (random_below(12)) {
        case 0:
            disrupted_nodes_.insert(name);
            nodes_.at(name)->signal(SIGKILL);
            schedule(duration_ms, [this, name] { restart_if_exited(name); });
            break;
        case 1:
            stop(name);
            schedule(4000 + duration_ms,
                     [this, name] { restart_if_exited(name); });
            break;
        case 2:
            disrupted_nodes_.insert(name);
            nodes_.at(name)->signal(SIGSTOP);
            schedule(duration_ms,
                     [this, name] { nodes_.at(name)->signal(SIGCONT); });
            break;
        case 3:
            control_proxy(name, "/v1/cut");
            break;
        case 4:
            control_proxy(name, "/v1/freeze");
            break;
        case 5:
            control_proxy(name, "/v1/rule", {{"refuse", true}});
            schedule(duration_ms,
                     [this, name] { control_proxy(name, "/v1/rule"); });
            break;
        case 6:
            store_.set_unavailable(true);
            schedule(duration_ms, [this] { store_.set_unavailable(false); });
            break;
        case 7:
            store_.set_lost_response_percent(20);
            schedule(duration_ms,
                     [this] { store_.set_lost_response_percent(0); });
            break;
        case 8:
            for (int n = 0; n < burst_size; ++n) {
                schedule(random_below(duration_ms),
                         [this] { publish_configuration(++version_); });
            }
            break;
        case 9:
            for (int n = 0; n < burst_size; ++n) {
                schedule(random_below(duration_ms),
                         [this, node = random_node()] { reload(node); });
            }
            break;
        case 10:
            stop(name);
            for (int n = 0; n < burst_size; ++n) {
                schedule(random_below(2 * duration_ms),
                         [this, name] { reload(name); });
            }
            schedule(4000 + duration_ms,
                     [this, name] { restart_if_exited(name); });
            break;
        default:
            samplers_[static_cast<std::size_t>(random_below(2))]
                ->abort_streams();
            break;
        }
    }

    /// Submits and reads jobs and sends a lookup, then waits for a random time
    /// of less than 200 ms.
    void run_workload() {
        if (jobs_.size() < max_jobs && random_below(3) == 0) {
            const auto id = "j" + std::to_string(jobs_.size());
            jobs_.push_back(
                {id, make_job_body(id + "-"), false, false, 0, {}, {}});
        }
        for (auto& job : jobs_) {
            if (!job.accepted && job.attempts < max_attempts) {
                submit(job);
            }
            read_results(job);
        }
        send_lookup();
        run_for(random_below(200));
    }

    void run_for(int duration_ms) {
        const auto deadline = clock_.now() + duration_ms;
        run_until([&] { return clock_.now() >= deadline; });
    }

    void submit(soak_job& job) {
        ++job.attempts;
        const auto response =
            call(random_node(), "POST", "/batch/1",
                 {{"Request-Id", job.id}, {"Deadline-Ms", "1500"}}, job.body);
        job.accepted = response.status == 202;
        job.may_have_run = job.may_have_run ||
                           (response.status != 202 && response.status != 503);
    }

    /// Reads results of an accepted job from `first_position` on, by default
    /// from the first position that was not read yet.
    void read_results(soak_job& job, int first_position = -1) {
        if (!job.accepted) {
            return;
        }
        const int after = first_position >= 0
                              ? first_position
                              : static_cast<int>(job.results.size());
        const auto response =
            call(random_node(), "GET",
                 "/lots/" + job.id + "?after=" + std::to_string(after));
        if (response.status == 404) {
            violation_ = job.id + " was accepted but got status 404";
        }
        if (response.status != 200) {
            return;
        }
        int position = after;
        const auto body = json::parse(response.body);
        for (const auto& result : body.at("results")) {
            check_result(job, position++, result);
        }
    }

    void check_result(soak_job& job, int position, const json& result) {
        const auto id = result.at("id").get<std::string>();
        if (result.at("text") !=
                fake_backend_server::expected_text(id, events_per_run) ||
            result.at("score") != "of-s" + id) {
            violation_ = job.id + ": wrong text or score of " + id;
        }
        const auto inserted = job.results.emplace(position, result.dump());
        if (inserted.first->second != result.dump()) {
            violation_ = job.id + ": position " + std::to_string(position) +
                         " has changed";
        } else if (inserted.second && !job.result_ids.insert(id).second) {
            violation_ = job.id + ": " + id + " is returned twice";
        }
    }

    void send_lookup() {
        const auto id = "q" + std::to_string(++lookup_count_);
        const auto response =
            call(random_node(), "POST", "/look/x",
                 {{"Request-Id", id}, {"Deadline-Ms", "1500"}});
        check_lookup(id, response.status, response.body);
    }

    /// Waits until all nodes run, then checks that all results of accepted jobs
    /// can be read at unchanged positions and that rejected jobs did not run.
    void check_jobs() {
        for (const char* name : {"n1", "n2", "n3"}) {
            run_until([&] {
                restart_if_exited(name);
                return stopping_nodes_.count(name) == 0 &&
                       nodes_.at(name)->is_running();
            });
        }
        for (auto& job : jobs_) {
            const bool complete = run_until([&] {
                read_results(job);
                return !job.accepted || !violation_.empty() ||
                       job.results.size() == items_per_job;
            });
            read_results(job, 0);
            if (!complete && violation_.empty()) {
                violation_ = job.id + " has " +
                             std::to_string(job.results.size()) + " results";
            }
            check_rejected_job(job);
        }
    }

    /// Checks that a job did not run if all attempts to submit it were
    /// rejected.
    void check_rejected_job(const soak_job& job) {
        if (job.accepted || job.may_have_run) {
            return;
        }
        for (const auto& sampler : samplers_) {
            if (sampler->executed_ids().count(job.id + "-0") != 0) {
                violation_ =
                    job.id + " ran although all submissions were rejected";
            }
        }
    }

    static constexpr std::size_t max_jobs = 8;
    static constexpr int max_attempts = 6;
    /// The number of configuration changes or reload signals in a burst.
    static constexpr int burst_size = 5;
    static constexpr base::millis exit_poll_interval_ms = 100;

    std::mt19937 random_;
    base::clock clock_;
    std::map<std::string, proxy> proxies_;
    std::vector<std::unique_ptr<keep_alive_client>> callers_;
    /// Lookups that got no response from nodes that were neither killed nor
    /// suspended since their start.
    std::vector<std::string> unanswered_ids_;
    std::set<std::string> disrupted_nodes_;
    std::set<std::string> stopping_nodes_;
    /// Nodes that have responded since their start and so handle SIGHUP.
    std::set<std::string> ready_nodes_;
    int version_ = 1;
    std::vector<soak_job> jobs_;
    std::vector<scheduled_action> scheduled_actions_;
    std::string violation_;
    int lookup_count_ = 0;
};

/// Runs HIBISCUS_SOAK_SEEDS (default 1) consecutive seeds, starting at
/// HIBISCUS_SOAK_SEED (default 1).
TEST(soak_test, accepted_jobs_are_read_once_and_completely_under_faults) {
    const auto* seed_variable = std::getenv("HIBISCUS_SOAK_SEED");   // NOLINT
    const auto* count_variable = std::getenv("HIBISCUS_SOAK_SEEDS"); // NOLINT
    const int first_seed =
        seed_variable == nullptr ? 1 : std::atoi(seed_variable);
    const int seed_count =
        count_variable == nullptr ? 1 : std::atoi(count_variable);
    constexpr int steps = 30;
    for (int seed = first_seed; seed < first_seed + seed_count; ++seed) {
        soak_run run(static_cast<unsigned>(seed));
        EXPECT_EQ(run.run(steps), "") << "HIBISCUS_SOAK_SEED=" << seed;
        std::cout << "seed " << seed << " finished" << std::endl;
    }
}

} // namespace

} // namespace hibiscus::testing
