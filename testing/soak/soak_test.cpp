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

/// A job as its trainer knows it.
struct soak_job {
    std::string id;
    std::string body;
    bool accepted = false;
    /// An attempt ended so that the job may run although it was not accepted.
    bool may_have_run = false;
    int attempts = 0;
    std::map<int, std::string> results;
    std::set<std::string> result_ids;
};

/// Plays one seed: faults from outside in series that overlap, while trainers
/// submit and read jobs at any node and callers look things up. What is wrong
/// is what they see.
class soak_run : private entry_harness {
public:
    explicit soak_run(unsigned seed) : random_(seed) {}

    /// Returns what is wrong, or "".
    std::string run(int steps) {
        publish_configuration();
        for (const char* name : {"n1", "n2", "n3"}) {
            add_proxy(name);
            start_node(name, proxies_.at(name).listen_address);
        }
        for (const char* name : {"n1", "n2", "n3"}) {
            if (!wait_until_ready(name)) {
                return std::string(name) + " does not become ready";
            }
            add_callers(name);
        }
        for (int step = 0; step < steps && violation_.empty(); ++step) {
            inject_fault();
            run_workload();
            run_due_actions(false);
        }
        run_due_actions(true);
        check_accepted_jobs();
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
        base::millis due_ms = 0;
        std::function<void()> action;
    };

    int random_below(int below) {
        return static_cast<int>(random_() % static_cast<unsigned>(below));
    }

    std::string random_node() {
        return "n" + std::to_string(1 + random_below(3));
    }

    void add_proxy(const std::string& name) {
        auto& p = proxies_[name];
        p.control_address = {"127.0.0.1", reserved_ports_.reserve("127.0.0.1")};
        p.listen_address = {"127.0.0.1", reserved_ports_.reserve("127.0.0.1")};
        p.daemon = std::make_unique<process>(
            std::vector<std::string>{HIBISCUS_FAULT_PROXY,
                                     "--address=" +
                                         to_string(p.control_address),
                                     "--listen=" + to_string(p.listen_address),
                                     "--target=" + to_string(store_.address())},
            work_dir_ + "/proxy-" + name + ".log");
        ports_["proxy-" + name] = {p.control_address.port};
        run_until([&] {
            return call("proxy-" + name, "GET", "/v1/proxy").status == 200;
        });
    }

    void control_proxy(const std::string& name, const std::string& target,
                       const json& body = json::object()) {
        call("proxy-" + name, "POST", target, {}, body.dump());
    }

    void schedule(base::millis ms, std::function<void()> what) {
        scheduled_actions_.push_back({clock_.now() + ms, std::move(what)});
    }

    void run_due_actions(bool all) {
        auto list = std::exchange(scheduled_actions_, {});
        for (auto& u : list) {
            if (all || clock_.now() >= u.due_ms) {
                u.action();
            } else {
                scheduled_actions_.push_back(std::move(u));
            }
        }
    }

    void restart_if_exited(const std::string& name) {
        if (!nodes_.at(name)->is_running()) {
            ready_nodes_.erase(name);
            disrupted_nodes_.erase(name);
            stopping_nodes_.erase(name);
            start_node(name, proxies_.at(name).listen_address);
        } else if (stopping_nodes_.count(name) != 0) {
            schedule(recheck_ms, [this, name] { restart_if_exited(name); });
        }
    }

    void stop(const std::string& name) {
        stopping_nodes_.insert(name);
        nodes_.at(name)->signal(SIGTERM);
    }

    /// Starts callers that send one lookup after the other on connections that
    /// they keep until the node closes them or is gone.
    void add_callers(const std::string& name) {
        constexpr int callers = 3;
        for (int n = 0; n < callers; ++n) {
            callers_.push_back(std::make_unique<keep_alive_client>(
                io_, base::endpoint{"127.0.0.1", ports_.at(name).front()},
                [this] { return make_lookup(); },
                [this, name](const auto& q, const auto& r) {
                    on_lookup_done(name, q, r);
                }));
        }
    }

    client_request make_lookup() {
        constexpr int longest_pause_ms = 40;
        constexpr int longest_body = 100000;
        client_request q;
        q.id = "k" + std::to_string(++lookup_count_);
        q.target = "/look/x";
        q.fields = {{"Host", "h"}, {"Deadline-Ms", "1500"}};
        q.body.assign(static_cast<std::size_t>(random_below(longest_body)),
                      'x');
        q.delay_ms = random_below(longest_pause_ms);
        return q;
    }

    void on_lookup_done(const std::string& name, const client_request& q,
                        const client_reply& r) {
        if (r.status == 0) {
            if (disrupted_nodes_.count(name) == 0) {
                unresponded_ids_.push_back(q.id);
            }
            return;
        }
        ready_nodes_.insert(name);
        check_lookup(q.id, r.status, r.body);
    }

    void check_lookup(const std::string& id, int status,
                      const std::string& body) {
        if (status == 200 && body != "answer to " + id) {
            violation_ = id + " got " + body;
        }
        if (status == 404) {
            violation_ = id + " was denied";
        }
    }

    /// A request that a node passed on ends with an answer, unless the node was
    /// killed or stood still.
    void stop_callers_and_check() {
        for (const auto& c : callers_) {
            c->stop();
        }
        run_until([&] {
            return std::all_of(callers_.begin(), callers_.end(),
                               [](const auto& c) { return c->is_stopped(); });
        });
        for (const auto& id : unresponded_ids_) {
            if (app_server_.executed_ids().count(id) != 0) {
                violation_ = id + " was passed on and got no answer";
            }
        }
    }

    void reload(const std::string& name) {
        if (ready_nodes_.count(name) != 0) {
            nodes_.at(name)->signal(SIGHUP);
        }
    }

    /// Brings about one fault and plans its end.
    void inject_fault() {
        const auto name = random_node();
        const int ms = 200 + random_below(2000);
        switch (random_below(12)) {
        case 0:
            disrupted_nodes_.insert(name);
            nodes_.at(name)->signal(SIGKILL);
            schedule(ms, [this, name] { restart_if_exited(name); });
            break;
        case 1:
            stop(name);
            schedule(4000 + ms, [this, name] { restart_if_exited(name); });
            break;
        case 2:
            disrupted_nodes_.insert(name);
            nodes_.at(name)->signal(SIGSTOP);
            schedule(ms, [this, name] { nodes_.at(name)->signal(SIGCONT); });
            break;
        case 3:
            control_proxy(name, "/v1/cut");
            break;
        case 4:
            control_proxy(name, "/v1/freeze");
            break;
        case 5:
            control_proxy(name, "/v1/rule", {{"refuse", true}});
            schedule(ms, [this, name] { control_proxy(name, "/v1/rule"); });
            break;
        case 6:
            store_.set_unavailable(true);
            schedule(ms, [this] { store_.set_unavailable(false); });
            break;
        case 7:
            store_.set_lost_response_percent(20);
            schedule(ms, [this] { store_.set_lost_response_percent(0); });
            break;
        case 8:
            for (int n = 0; n < burst_size; ++n) {
                schedule(random_below(ms),
                         [this] { publish_configuration(++version_); });
            }
            break;
        case 9:
            for (int n = 0; n < burst_size; ++n) {
                schedule(random_below(ms),
                         [this, node = random_node()] { reload(node); });
            }
            break;
        case 10:
            stop(name);
            for (int n = 0; n < burst_size; ++n) {
                schedule(random_below(2 * ms), [this, name] { reload(name); });
            }
            schedule(4000 + ms, [this, name] { restart_if_exited(name); });
            break;
        default:
            samplers_[static_cast<std::size_t>(random_below(2))]
                ->abort_streams();
            break;
        }
    }

    /// Uses the system for a while, as trainers and callers do.
    void run_workload() {
        if (jobs_.size() < max_jobs && random_below(3) == 0) {
            const auto id = "j" + std::to_string(jobs_.size());
            jobs_.push_back(
                {id, make_job_body(id + "-"), false, false, 0, {}, {}});
        }
        for (auto& j : jobs_) {
            if (!j.accepted && j.attempts < max_attempts) {
                submit(j);
            }
            read_results(j);
        }
        send_lookup();
        run_for(random_below(200));
    }

    void run_for(int ms) {
        const auto until = clock_.now() + ms;
        run_until([&] { return clock_.now() >= until; });
    }

    void submit(soak_job& j) {
        ++j.attempts;
        const auto got =
            call(random_node(), "POST", "/batch/1",
                 {{"Request-Id", j.id}, {"Deadline-Ms", "1500"}}, j.body);
        j.accepted = got.status == 202;
        j.may_have_run =
            j.may_have_run || (got.status != 202 && got.status != 503);
    }

    void read_results(soak_job& j, int from = -1) {
        if (!j.accepted) {
            return;
        }
        const int after = from >= 0 ? from : static_cast<int>(j.results.size());
        const auto got =
            call(random_node(), "GET",
                 "/lots/" + j.id + "?after=" + std::to_string(after));
        if (got.status == 404) {
            violation_ = j.id + " is said not to exist";
        }
        if (got.status != 200) {
            return;
        }
        int position = after;
        const auto body = json::parse(got.body);
        for (const auto& r : body.at("results")) {
            check_result(j, position++, r);
        }
    }

    void check_result(soak_job& j, int position, const json& r) {
        const auto id = r.at("id").get<std::string>();
        if (r.at("text") !=
                fake_backend_server::expected_text(id, events_per_run) ||
            r.at("score") != "of-s" + id) {
            violation_ = j.id + ": a wrong text of " + id;
        }
        const auto known = j.results.emplace(position, r.dump());
        if (known.first->second != r.dump()) {
            violation_ = j.id + ": position " + std::to_string(position) +
                         " has changed";
        } else if (known.second && !j.result_ids.insert(id).second) {
            violation_ = j.id + ": " + id + " is listed twice";
        }
    }

    void send_lookup() {
        const auto id = "q" + std::to_string(++lookup_count_);
        const auto got = call(random_node(), "POST", "/look/x",
                              {{"Request-Id", id}, {"Deadline-Ms", "1500"}});
        check_lookup(id, got.status, got.body);
    }

    /// With all faults over, everything that was accepted must be there.
    void check_accepted_jobs() {
        for (const char* name : {"n1", "n2", "n3"}) {
            run_until([&] {
                restart_if_exited(name);
                return stopping_nodes_.count(name) == 0 &&
                       nodes_.at(name)->is_running();
            });
        }
        for (auto& j : jobs_) {
            const bool whole = run_until([&] {
                read_results(j);
                return !j.accepted || !violation_.empty() ||
                       j.results.size() == items_per_job;
            });
            read_results(j, 0);
            if (!whole && violation_.empty()) {
                violation_ = j.id + " has " + std::to_string(j.results.size()) +
                             " results";
            }
            check_rejected_job(j);
        }
    }

    /// A job of which each attempt was refused must not have run.
    void check_rejected_job(const soak_job& j) {
        if (j.accepted || j.may_have_run) {
            return;
        }
        for (const auto& e : samplers_) {
            if (e->executed_ids().count(j.id + "-0") != 0) {
                violation_ = j.id + " was refused and ran";
            }
        }
    }

    static constexpr std::size_t max_jobs = 8;
    static constexpr int max_attempts = 6;
    /// How many configurations or reloads come in a series.
    static constexpr int burst_size = 5;
    static constexpr base::millis recheck_ms = 100;

    std::mt19937 random_;
    base::clock clock_;
    std::map<std::string, proxy> proxies_;
    std::vector<std::unique_ptr<keep_alive_client>> callers_;
    /// Lookups whose connections ended without an answer, at nodes that were
    /// neither killed nor stood still since their start.
    std::vector<std::string> unresponded_ids_;
    std::set<std::string> disrupted_nodes_;
    std::set<std::string> stopping_nodes_;
    /// Nodes that have answered since their start.
    std::set<std::string> ready_nodes_;
    int version_ = 1;
    std::vector<soak_job> jobs_;
    std::vector<scheduled_action> scheduled_actions_;
    std::string violation_;
    int lookup_count_ = 0;
};

/// Plays a seed of CI, or those from HIBISCUS_SOAK_SEED on, as many as
/// HIBISCUS_SOAK_SEEDS says.
TEST(soak_test, accepted_jobs_are_read_once_and_completely_under_faults) {
    const auto* first = std::getenv("HIBISCUS_SOAK_SEED");  // NOLINT
    const auto* count = std::getenv("HIBISCUS_SOAK_SEEDS"); // NOLINT
    const int begin = first == nullptr ? 1 : std::atoi(first);
    const int seeds = count == nullptr ? 1 : std::atoi(count);
    constexpr int steps = 30;
    for (int seed = begin; seed < begin + seeds; ++seed) {
        soak_run s(static_cast<unsigned>(seed));
        EXPECT_EQ(s.run(steps), "") << "HIBISCUS_SOAK_SEED=" << seed;
        std::cout << "seed " << seed << " played" << std::endl;
    }
}

} // namespace

} // namespace hibiscus::testing
