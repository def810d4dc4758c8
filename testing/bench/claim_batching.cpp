// Measures the benefit of batching claims into one append. Simulates one home
// node with 16 shards, a log with a rate limit for appends, and callers, in
// virtual time. The claim coordinator is that of the daemon; the latencies of
// the network and the service are constants. Prints a table and writes JSON.

#include "hibiscus/cluster/claim_coordinator.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <random>

ABSL_FLAG(std::string, output, "", "file for the results as JSON");
ABSL_FLAG(std::string, commit, "", "commit of the measured code");

namespace hibiscus::testing {
namespace {

constexpr cluster::shard_number shard_count = 16;
constexpr base::millis append_ms = 2;
constexpr base::millis read_ms = 1;
constexpr base::millis run_ms = 5;
constexpr base::millis retry_ms = 200;
constexpr base::millis warm_up_ms = 2000;
constexpr base::millis simulation_ms = 12000;
constexpr double appends_per_second = 400;
constexpr double max_append_burst = 20;
constexpr unsigned seed = 1;

/// The settings of one row of the table.
struct batching_config {
    base::millis window_ms = 0;
    /// Maximum number of items in an append; 1 disables batching.
    std::size_t items_per_append = 0;
    base::millis tick_ms = 20;
    int requests_per_second = 0;
};

/// The results of one run.
struct run_result {
    int completed = 0;
    int not_completed = 0;
    int appends = 0;
    /// Time from submission to dispatch of each request.
    std::vector<base::millis> wait_ms;
};

/// A claim coordinator, a model of the log, and callers with Poisson arrivals.
class claim_coordinator_simulation {
public:
    explicit claim_coordinator_simulation(const batching_config& config)
        : config_(config),
          coordinator_(base::node_id("n"), 1, make_claim_options(config)) {
        std::set<cluster::shard_number> all_shards;
        for (cluster::shard_number i = 0; i < shard_count; ++i) {
            all_shards.insert(i);
        }
        coordinator_.assign_shards(all_shards);
    }

    /// Runs the simulation and returns its results.
    run_result run() {
        std::poisson_distribution<int> arrivals(config_.requests_per_second /
                                                1000.0);
        for (now_ = 0; now_ < simulation_ms; ++now_) {
            rate_tokens_ = std::min(max_append_burst,
                                    rate_tokens_ + appends_per_second / 1000.0);
            for (int remaining = arrivals(random_); remaining > 0;
                 --remaining) {
                submit();
            }
            const auto due_events = events_.equal_range(now_);
            std::vector<std::function<void()>> actions;
            for (auto event = due_events.first; event != due_events.second;
                 ++event) {
                actions.push_back(event->second);
            }
            events_.erase(now_);
            for (const auto& action : actions) {
                action();
            }
            if (now_ % config_.tick_ms == 0) {
                coordinator_.tick(now_, now_);
            }
            apply_effects();
        }
        return result_;
    }

private:
    static cluster::claim_options
    make_claim_options(const batching_config& config) {
        cluster::claim_options options;
        options.append_interval = config.window_ms;
        options.max_items_per_append = config.items_per_append;
        return options;
    }

    bool is_warmed_up() const { return now_ >= warm_up_ms; }

    void submit() {
        wire::service_request request;
        request.id = base::request_id("r" + std::to_string(++request_count_));
        request.deadline_ms = 2000;
        request.created_ms = now_;
        submitted_[request.id] = now_;
        coordinator_.submit(now_, now_, request_count_,
                            cluster::shard_of(request.id, shard_count),
                            request);
    }

    void apply_effects() {
        for (const auto& effect : coordinator_.take_effects()) {
            if (const auto* claims =
                    std::get_if<cluster::append_claims>(&effect)) {
                append(*claims);
            } else if (const auto* dispatched =
                           std::get_if<cluster::dispatch_request>(&effect)) {
                dispatch(dispatched->request.id);
            } else {
                record_response(
                    std::get<cluster::send_response>(effect).response);
            }
        }
    }

    void append(const cluster::append_claims& claims) {
        const bool accepted = rate_tokens_ >= 1;
        if (accepted) {
            rate_tokens_ -= 1;
            result_.appends += is_warmed_up() ? 1 : 0;
            events_.emplace(now_ + append_ms + read_ms, [this, claims] {
                coordinator_.apply_record(now_, claims.shard,
                                          log_ends_[claims.shard]++,
                                          claims.record);
            });
        }
        events_.emplace(now_ + append_ms, [this, claims, accepted] {
            coordinator_.on_append_result(
                claims.shard, claims.id,
                accepted ? cluster::append_outcome::appended
                         : cluster::append_outcome::refused,
                now_ + retry_ms);
        });
    }

    void dispatch(const base::request_id& id) {
        if (is_warmed_up()) {
            result_.wait_ms.push_back(now_ - submitted_[id]);
        }
        events_.emplace(now_ + run_ms, [this, id] {
            wire::service_response response;
            response.id = id;
            response.result = wire::outcome::completed;
            coordinator_.on_service_response(cluster::shard_of(id, shard_count),
                                             response);
        });
    }

    void record_response(const wire::service_response& response) {
        if (is_warmed_up()) {
            const bool completed = response.result == wire::outcome::completed;
            result_.completed += completed ? 1 : 0;
            result_.not_completed += completed ? 0 : 1;
        }
    }

    batching_config config_;
    cluster::claim_coordinator coordinator_;
    std::mt19937 random_{seed}; // NOLINT: the same arrivals in each run
    base::millis now_ = 0;
    double rate_tokens_ = max_append_burst;
    std::uint64_t request_count_ = 0;
    std::map<base::request_id, base::millis> submitted_;
    std::map<cluster::shard_number, wire::log_offset> log_ends_;
    std::multimap<base::millis, std::function<void()>> events_;
    run_result result_;
};

/// Simulates one configuration, prints its row and returns it as JSON.
nlohmann::json run_and_print(const batching_config& config) {
    auto result = claim_coordinator_simulation(config).run();
    std::sort(result.wait_ms.begin(), result.wait_ms.end());
    const auto wait_percentile = [&](double share) {
        const auto last_index = static_cast<double>(result.wait_ms.size()) - 1;
        return result.wait_ms.empty()
                   ? base::millis{0}
                   : result
                         .wait_ms[static_cast<std::size_t>(share * last_index)];
    };
    const double seconds =
        static_cast<double>(simulation_ms - warm_up_ms) / 1000.0;
    const auto per_second = [&](int count) {
        return static_cast<int>(count / seconds);
    };
    const auto window_label = config.items_per_append == 1
                                  ? std::string("one append per request")
                                  : std::to_string(config.window_ms);
    std::cout << "| " << config.requests_per_second << " | " << config.tick_ms
              << " | " << window_label << " | " << per_second(result.completed)
              << " | " << per_second(result.not_completed) << " | "
              << wait_percentile(0.5) << " | " << wait_percentile(0.99) << " | "
              << per_second(result.appends) << " |\n";
    return {{"offered", config.requests_per_second},
            {"tick_ms", config.tick_ms},
            {"window_ms", config.window_ms},
            {"one_per_request", config.items_per_append == 1},
            {"completed", per_second(result.completed)},
            {"refused", per_second(result.not_completed)},
            {"wait_p50_ms", wait_percentile(0.5)},
            {"wait_p99_ms", wait_percentile(0.99)},
            {"appends", per_second(result.appends)}};
}

} // namespace
} // namespace hibiscus::testing

/// Simulates all configurations.
int main(int argc, char** argv) {
    using hibiscus::testing::batching_config;
    absl::ParseCommandLine(argc, argv);
    constexpr std::size_t max_items = 1024;
    std::cout << "| offered/s | tick ms | window ms | completed/s | refused/s "
                 "| wait p50 ms | wait p99 ms | appends/s |\n"
              << "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    auto rows = nlohmann::json::array();
    for (const int requests_per_second : {100, 1000, 3000}) {
        for (const int tick : {20, 5}) {
            rows.push_back(hibiscus::testing::run_and_print(
                batching_config{0, 1, tick, requests_per_second}));
            for (const int window : {0, 5, 10, 20, 50}) {
                rows.push_back(hibiscus::testing::run_and_print(batching_config{
                    window, max_items, tick, requests_per_second}));
            }
        }
    }
    if (!absl::GetFlag(FLAGS_output).empty()) {
        std::ofstream(absl::GetFlag(FLAGS_output))
            << nlohmann::json{{"commit", absl::GetFlag(FLAGS_commit)},
                              {"seed", 1},
                              {"rows", rows}}
                   .dump(1)
            << '\n';
    }
    return 0;
}
