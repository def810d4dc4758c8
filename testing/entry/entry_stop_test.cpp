#include "entry/entry_harness.hpp"
#include "entry/keep_alive_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>
#include <set>

namespace hibiscus::testing {

namespace {

constexpr std::array<const char*, 3> node_names{"n1", "n2", "n3"};

/// The load of a run and the operations that an operator performs meanwhile.
struct planned_operations {
    /// How many lookup callers each node has for each of three
    /// ranges of body sizes.
    int callers_per_size = 1;
    /// The number of stream callers per node.
    int streams_per_node = 1;
    /// Whether each node is stopped once by SIGTERM and started again.
    bool stops_nodes = false;
    /// How many bursts of reload signals nodes get.
    int reload_bursts = 0;
    int configuration_changes = 0;
};

/// A request whose connection ended without a complete response.
struct unanswered_request {
    std::string id;
    std::string node;
    client_response response;
    /// The time since the node's last SIGTERM, in ms; -1 if it got none.
    base::millis ms_since_stop = -1;
};

/// Runs one seed: callers send requests over keep-alive connections to each of
/// three nodes, while an operator stops nodes, reloads their settings and
/// changes the configuration. Stops may overlap.
class rolling_stop_run : private entry_harness {
public:
    explicit rolling_stop_run(unsigned seed) : random_(seed) {}

    /// Returns a description of the violations, or "".
    std::string run(const planned_operations& operations) {
        publish_configuration(version_, request_timeout_ms);
        lookup_server_.set_service_time_ms(service_time_ms);
        for (const char* name : node_names) {
            start_node(name);
        }
        for (const char* name : node_names) {
            if (!wait_until_ready(name)) {
                return std::string(name) + " did not become ready";
            }
            add_callers(name, operations);
        }
        schedule_actions(operations);
        run_until([&] { return response_count_ > warm_up_responses; });
        started_at_ = clock_.now();
        last_iteration_at_ = started_at_;
        while (!scheduled_actions_.empty() || !stopping_nodes_.empty()) {
            if (!run_iteration()) {
                break;
            }
        }
        stop_callers_and_check_jobs();
        return report_violations();
    }

private:
    struct scheduled_action {
        base::millis due_after_ms = 0;
        std::function<void()> action;
    };

    int random_below(int limit) {
        return static_cast<int>(random_() % static_cast<unsigned>(limit));
    }

    std::string random_node() {
        return node_names[static_cast<std::size_t>(
            random_below(node_names.size()))];
    }

    void add_callers(const std::string& name,
                     const planned_operations& operations) {
        for (int n = 0; n < operations.callers_per_size; ++n) {
            for (const int body_size_range : {1, 20000, 400000}) {
                add_caller(name, [this, body_size_range] {
                    return make_lookup(body_size_range);
                });
            }
        }
        for (int n = 0; n < operations.streams_per_node; ++n) {
            add_caller(name, [this] { return make_stream_request(); });
        }
        add_caller(name, [this] { return make_job_request(); });
    }

    void add_caller(const std::string& name,
                    keep_alive_client::request_source next_request) {
        callers_.push_back(std::make_unique<keep_alive_client>(
            io_, base::endpoint{"127.0.0.1", ports_.at(name).front()},
            std::move(next_request),
            [this, name](const auto& request, const auto& response) {
                on_request_done(name, request, response);
            }));
    }

    client_request make_request(const std::string& prefix,
                                const std::string& target) {
        client_request request;
        request.id = prefix + std::to_string(++request_count_);
        request.target = target;
        request.fields = {{"Host", "h"},
                          {"Deadline-Ms", std::to_string(request_timeout_ms)}};
        request.delay_ms = random_below(8) == 0 ? random_below(max_pause_ms)
                                                : random_below(service_time_ms);
        return request;
    }

    client_request make_lookup(int body_size_range) {
        auto request = make_request("q", "/look/x");
        const int size = min_body_bytes + random_below(body_size_range);
        request.body.assign(static_cast<std::size_t>(size), 'x');
        request.write_count = 1 + static_cast<std::size_t>(random_below(4));
        return request;
    }

    client_request make_stream_request() {
        auto request = make_request("t", "/stream/x");
        request.fields.push_back({"Model", "m"});
        return request;
    }

    /// Returns a request that submits a job or reads an accepted one, or a
    /// lookup if no job is accepted yet.
    client_request make_job_request() {
        if (jobs_.size() < max_jobs && random_below(3) == 0) {
            auto request = make_request("j", "/batch/1");
            request.body = make_job_body(request.id + "-");
            jobs_[request.id] = false;
            return request;
        }
        std::vector<std::string> accepted;
        for (const auto& [id, is_accepted] : jobs_) {
            if (is_accepted) {
                accepted.push_back(id);
            }
        }
        if (accepted.empty()) {
            return make_lookup(1);
        }
        const auto& job = accepted[random_() % accepted.size()];
        auto request = make_request("r", "/lots/" + job + "?after=0");
        request.method = "GET";
        return request;
    }

    void on_request_done(const std::string& name, const client_request& request,
                         const client_response& response) {
        if (response.status == 0) {
            const auto stop = stopped_at_.find(name);
            unanswered_requests_.push_back(
                {request.id, name, response,
                 stop == stopped_at_.end() ? -1 : clock_.now() - stop->second});
            return;
        }
        ++response_count_;
        ready_nodes_.insert(name);
        if (response.status == 202) {
            jobs_[request.id] = true;
        } else if (response.status / 100 == 4) {
            violations_ += request.id + " got " +
                           std::to_string(response.status) + " from " + name +
                           "\n";
        } else if (response.status == 200 && request.id[0] == 'q' &&
                   response.body != "answer to " + request.id) {
            violations_ += request.id + " got " + response.body + "\n";
        } else if (response.status != 200) {
            ++error_counts_[response.status];
        }
    }

    void schedule_actions(const planned_operations& operations) {
        base::millis due_after_ms = 0;
        for (const char* name : node_names) {
            if (operations.stops_nodes) {
                due_after_ms += random_below(max_stop_spacing_ms);
                scheduled_actions_.push_back(
                    {due_after_ms, [this, name] { stop(name); }});
            }
        }
        const int span_ms =
            static_cast<int>(due_after_ms) + max_stop_spacing_ms;
        for (int n = 0; n < operations.reload_bursts; ++n) {
            const auto name = random_node();
            const int start_ms = random_below(span_ms);
            for (int k = random_below(max_reload_burst); k >= 0; --k) {
                scheduled_actions_.push_back(
                    {start_ms + k, [this, name] { reload(name); }});
            }
        }
        for (int n = 0; n < operations.configuration_changes; ++n) {
            scheduled_actions_.push_back(
                {random_below(span_ms), [this] {
                     publish_configuration(++version_,
                                           request_timeout_ms +
                                               random_below(service_time_ms));
                 }});
        }
    }

    void stop(const std::string& name) {
        stopped_at_[name] = clock_.now();
        stopping_nodes_.insert(name);
        nodes_.at(name)->signal(SIGTERM);
    }

    void reload(const std::string& name) {
        if (ready_nodes_.count(name) != 0) {
            nodes_.at(name)->signal(SIGHUP);
        }
    }

    /// Runs the actions that are due, restarts nodes that have stopped and runs
    /// the fakes for 1 ms. Returns false if a node does not stop in time.
    bool run_iteration() {
        const auto now = clock_.now();
        max_iteration_ms_ =
            std::max(max_iteration_ms_, now - last_iteration_at_);
        last_iteration_at_ = now;
        auto actions = std::exchange(scheduled_actions_, {});
        for (auto& scheduled : actions) {
            if (now - started_at_ >= scheduled.due_after_ms) {
                scheduled.action();
            } else {
                scheduled_actions_.push_back(std::move(scheduled));
            }
        }
        for (const auto& [name, stopped_at] : stopped_at_) {
            if (stopping_nodes_.count(name) != 0 &&
                !nodes_.at(name)->is_running()) {
                restart_node(name);
            } else if (stopping_nodes_.count(name) != 0 &&
                       now - stopped_at > max_stop_ms) {
                violations_ += name + " did not exit after SIGTERM\n";
                return false;
            }
        }
        io_.restart();
        io_.run_for(std::chrono::milliseconds(1));
        return true;
    }

    void restart_node(const std::string& name) {
        if (nodes_.at(name)->wait_for_exit(0) != 0) {
            violations_ += name + " exited with a non-zero code\n";
        }
        stopping_nodes_.erase(name);
        ready_nodes_.erase(name);
        start_node(name);
    }

    void stop_callers_and_check_jobs() {
        for (const char* name : node_names) {
            if (!wait_until_ready(name)) {
                violations_ += std::string(name) + " did not become ready\n";
            }
        }
        for (const auto& caller : callers_) {
            caller->stop();
        }
        run_until([&] {
            return std::all_of(
                callers_.begin(), callers_.end(),
                [](const auto& caller) { return caller->is_stopped(); });
        });
        for (const auto& [id, accepted] : jobs_) {
            for (const char* name : node_names) {
                if (accepted && !read_all_results(id, name)) {
                    violations_ +=
                        id + " can't be read completely at " + name + "\n";
                }
            }
        }
    }

    bool read_all_results(const std::string& job, const std::string& name) {
        return run_until([&] {
            const auto response =
                call(name, "GET", "/lots/" + job + "?after=0");
            return response.status == 200 &&
                   json::parse(response.body).at("results").size() ==
                       items_per_job;
        });
    }

    bool was_executed(const std::string& id) const {
        return lookup_server_.executed_ids().count(id) != 0 ||
               samplers_[0]->executed_ids().count(id) != 0 ||
               samplers_[1]->executed_ids().count(id) != 0;
    }

    std::string report_violations() const {
        auto report = violations_;
        int resets = 0;
        int fully_sent = 0;
        int forwarded = 0;
        base::millis longest_wait_ms = 0;
        for (const auto& request : unanswered_requests_) {
            resets += request.response.connection_reset ? 1 : 0;
            fully_sent += request.response.fully_sent ? 1 : 0;
            longest_wait_ms =
                std::max(longest_wait_ms, request.response.wait_ms);
            if (was_executed(request.id)) {
                ++forwarded;
                report +=
                    request.id + " was forwarded by " + request.node +
                    ", and its connection was " +
                    (request.response.connection_reset ? "reset " : "closed ") +
                    std::to_string(request.response.wait_ms) +
                    " ms after its last byte, " +
                    std::to_string(request.ms_since_stop) +
                    " ms after SIGTERM\n";
            }
        }
        std::cout << "requests " << request_count_ << ", with a response "
                  << response_count_;
        for (const auto& [status, count] : error_counts_) {
            std::cout << ", " << status << ": " << count;
        }
        std::cout << "; without a response " << unanswered_requests_.size()
                  << ", of these fully sent " << fully_sent << ", reset "
                  << resets << ", forwarded " << forwarded << ", longest wait "
                  << longest_wait_ms << " ms; versions " << version_
                  << ", jobs " << jobs_.size() << ", longest iteration "
                  << max_iteration_ms_ << " ms" << std::endl;
        return report;
    }

    static constexpr int service_time_ms = 20;
    static constexpr int min_body_bytes = 600;
    static constexpr int request_timeout_ms = 20000;
    static constexpr int warm_up_responses = 50;
    static constexpr int max_pause_ms = 700;
    static constexpr int max_stop_spacing_ms = 4000;
    static constexpr int max_reload_burst = 6;
    static constexpr base::millis max_stop_ms = 60000;
    static constexpr std::size_t max_jobs = 5;

    std::mt19937 random_;
    base::clock clock_;
    base::millis started_at_ = 0;
    base::millis last_iteration_at_ = 0;
    /// The longest time between two calls of run_iteration(), in ms, for
    /// which the callers and fakes may have stalled.
    base::millis max_iteration_ms_ = 0;
    std::vector<std::unique_ptr<keep_alive_client>> callers_;
    std::vector<scheduled_action> scheduled_actions_;
    std::map<std::string, base::millis> stopped_at_;
    std::set<std::string> stopping_nodes_;
    std::set<std::string> ready_nodes_;
    std::map<std::string, bool> jobs_;
    std::vector<unanswered_request> unanswered_requests_;
    std::map<int, int> error_counts_;
    std::string violations_;
    int request_count_ = 0;
    int response_count_ = 0;
    int version_ = 1;
};

/// Runs HIBISCUS_STOP_SEEDS (default 1) consecutive seeds, starting at
/// HIBISCUS_STOP_SEED (default 1).
void run_seeds(const planned_operations& operations) {
    const auto* seed_variable = std::getenv("HIBISCUS_STOP_SEED");   // NOLINT
    const auto* count_variable = std::getenv("HIBISCUS_STOP_SEEDS"); // NOLINT
    const int first_seed =
        seed_variable == nullptr ? 1 : std::atoi(seed_variable);
    const int seed_count =
        count_variable == nullptr ? 1 : std::atoi(count_variable);
    for (int seed = first_seed; seed < first_seed + seed_count; ++seed) {
        rolling_stop_run run(static_cast<unsigned>(seed));
        EXPECT_EQ(run.run(operations), "") << "HIBISCUS_STOP_SEED=" << seed;
        std::cout << "seed " << seed << " finished" << std::endl;
    }
}

TEST(entry_stop_test, a_forwarded_request_is_answered_before_a_node_stops) {
    planned_operations operations;
    operations.callers_per_size = 6;
    operations.streams_per_node = 2;
    operations.stops_nodes = true;
    run_seeds(operations);
}

TEST(entry_stop_test, a_forwarded_request_is_answered_under_light_load) {
    planned_operations operations;
    operations.stops_nodes = true;
    run_seeds(operations);
}

TEST(entry_stop_test, a_request_passed_on_is_answered_across_reloads) {
    planned_operations operations;
    operations.callers_per_size = 3;
    operations.reload_bursts = 40;
    operations.configuration_changes = 40;
    run_seeds(operations);
}

TEST(entry_stop_test, a_forwarded_request_is_answered_when_stops_overlap) {
    planned_operations operations;
    operations.callers_per_size = 3;
    operations.stops_nodes = true;
    operations.reload_bursts = 40;
    operations.configuration_changes = 40;
    run_seeds(operations);
}

} // namespace

} // namespace hibiscus::testing
