// Measures goodput at the capacity of a service and at twice that rate in one
// run. Lookups are sent at a fixed rate without waiting for responses and count
// only if they complete within their deadline. Prints the results as JSON.

#include "support/test_cluster.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/executor_work_guard.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, programs, "build", "build directory");
ABSL_FLAG(int, nodes, 3, "number of entry instances");
ABSL_FLAG(int, instances, 2, "number of instances of the service");
ABSL_FLAG(int, slots, 8, "number of concurrent runs of one instance");
ABSL_FLAG(int, run_ms, 40, "duration of a run in ms");
ABSL_FLAG(int, deadline_ms, 500, "deadline of a lookup in ms");
ABSL_FLAG(int, seconds, 5, "duration of a phase in seconds");
ABSL_FLAG(int, rounds, 3, "number of rounds of the two phases");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

constexpr const char* document = R"({"schema": 1,
    "owners": [{"name": "campus"}],
    "services": [{"name": "ledger", "owner": "campus"}],
    "limits": {"entries_ttl_ms": 500}})";

/// Outcomes of the lookups of one phase.
struct phase_stats {
    std::atomic<int> completed{0};
    std::atomic<int> refused{0};
    std::atomic<int> without_retry_after{0};
    std::atomic<int> other_outcomes{0};
    std::atomic<int> in_flight{0};
    std::atomic<base::millis> total_refusal_ms{0};
};

/// Sends lookups at a fixed rate, round robin over all entries.
class open_loop_load {
public:
    explicit open_loop_load(std::vector<base::endpoint> entries)
        : entries_(std::move(entries)), guard_(io_.get_executor()),
          http_(io_, 500), thread_([this] { io_.run(); }) {}

    ~open_loop_load() {
        io_.stop();
        thread_.join();
    }

    open_loop_load(const open_loop_load&) = delete;
    open_loop_load& operator=(const open_loop_load&) = delete;

    /// Sends `per_second` lookups a second for --seconds and returns the counts
    /// of their outcomes.
    json run(double per_second) {
        auto stats = std::make_shared<phase_stats>();
        const auto started_at = clock_.now();
        const auto duration_ms = 1000 * absl::GetFlag(FLAGS_seconds);
        int sent = 0;
        for (auto now = started_at; now < started_at + duration_ms;
             now = clock_.now()) {
            const auto due_count =
                per_second * static_cast<double>(now - started_at) / 1000.0;
            while (sent < static_cast<int>(due_count)) {
                send(stats);
                ++sent;
            }
            pause_for(1);
        }
        eventually([&] { return stats->in_flight == 0; });
        const int refused = stats->refused;
        return {
            {"offered_per_s", sent / absl::GetFlag(FLAGS_seconds)},
            {"goodput_per_s", stats->completed / absl::GetFlag(FLAGS_seconds)},
            {"refused", refused},
            {"refused_without_retry_after", stats->without_retry_after.load()},
            {"mean_refusal_ms",
             refused > 0 ? stats->total_refusal_ms / refused : 0},
            {"other", stats->other_outcomes.load()}};
    }

private:
    void send(const std::shared_ptr<phase_stats>& stats) {
        wire::service_request lookup;
        lookup.id =
            base::request_id("lookup-" + std::to_string(++request_count_));
        lookup.service = base::service_id("ledger");
        lookup.deadline_ms = absl::GetFlag(FLAGS_deadline_ms);
        lookup.created_ms = clock_.wall_time();
        net::http_request request;
        request.method = "POST";
        request.target = "/v1/requests";
        request.body = wire::to_json(lookup);
        ++stats->in_flight;
        const auto sent_at = clock_.now();
        http_.send(entries_[static_cast<std::size_t>(request_count_) %
                            entries_.size()],
                   std::move(request), 20000, net::connection_reuse::allowed,
                   [this, stats, sent_at](const net::http_result& result) {
                       record_result(*stats, result, clock_.now() - sent_at);
                       --stats->in_flight;
                   });
    }

    static void record_result(phase_stats& stats,
                              const net::http_result& result,
                              base::millis latency) {
        const auto response =
            entry_client::decode_response<wire::service_response>(result);
        if (response && response->result == wire::outcome::completed &&
            latency <= absl::GetFlag(FLAGS_deadline_ms)) {
            ++stats.completed;
        } else if (response && response->result == wire::outcome::not_run) {
            ++stats.refused;
            stats.total_refusal_ms += latency;
            stats.without_retry_after += response->retry_after_ms > 0 ? 0 : 1;
        } else {
            ++stats.other_outcomes;
        }
    }

    base::clock clock_;
    std::vector<base::endpoint> entries_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard_;
    net::http_client http_;
    std::thread thread_;
    int request_count_ = 0;
};

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0 : values[values.size() / 2];
}

int run() {
    test_cluster cluster(absl::GetFlag(FLAGS_programs));
    cluster.start_platform();
    for (int i = 1; i <= absl::GetFlag(FLAGS_nodes); ++i) {
        cluster.start_node("127.0.0." + std::to_string(i), "z1");
    }
    for (int i = 0; i < absl::GetFlag(FLAGS_instances); ++i) {
        cluster.start_service(
            "ledger", "z1",
            {"--capacity=" + std::to_string(absl::GetFlag(FLAGS_slots)),
             "--run_ms=" + std::to_string(absl::GetFlag(FLAGS_run_ms))});
    }
    if (cluster.publish_document(document) != 0 ||
        !cluster.wait_until_ready()) {
        std::cerr << "the nodes did not become ready\n";
        return 1;
    }
    const double capacity = 1000.0 * absl::GetFlag(FLAGS_instances) *
                            absl::GetFlag(FLAGS_slots) /
                            absl::GetFlag(FLAGS_run_ms);
    open_loop_load load(cluster.entry_addresses());
    load.run(capacity / 2);
    json phases = json::array();
    std::vector<double> ratios;
    for (int i = 0; i < absl::GetFlag(FLAGS_rounds); ++i) {
        const auto at_capacity = load.run(capacity);
        const auto at_twice_capacity = load.run(2 * capacity);
        ratios.push_back(at_twice_capacity["goodput_per_s"].get<double>() /
                         at_capacity["goodput_per_s"].get<double>());
        phases.push_back(
            {{"at_capacity", at_capacity}, {"at_twice", at_twice_capacity}});
    }
    std::cout << json{{"capacity_per_s", capacity},
                      {"rounds", phases},
                      {"median_ratio", median(ratios)}}
                     .dump(1)
              << std::endl;
    return 0;
}

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    return hibiscus::testing::run();
}
